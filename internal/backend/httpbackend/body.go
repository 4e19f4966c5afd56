package httpbackend

import (
	"strconv"

	"github.com/pkg/errors"
	"github.com/valyala/fastjson"

	"chicorytiller.example/chicorytiller/internal/backend"
)

var (
	parsers fastjson.ParserPool
	arenas  fastjson.ArenaPool
)

// engineBody gives the caller's body with what the router decides: a stream
// with usage, the output limit and the priority.
func engineBody(dst []byte, req backend.GenerateRequest) ([]byte, error) {
	// Engines read a limit of zero as no limit: the answer could then pass the
	// reservation that the router made for it.
	if req.MaxTokens <= 0 {
		return nil, errors.Wrapf(ErrBadLimit, "%d", req.MaxTokens)
	}
	parser := parsers.Get()
	defer parsers.Put(parser)
	body, err := parser.ParseBytes(req.Body)
	if err != nil {
		return nil, errors.Wrap(ErrMalformedBody, err.Error())
	}
	if body.Type() != fastjson.TypeObject {
		return nil, errors.Wrap(ErrMalformedBody, "no JSON object")
	}
	arena := arenas.Get()
	defer arenas.Put(arena)
	defer arena.Reset()
	options := arena.NewObject()
	options.Set("include_usage", arena.NewTrue())
	replace(body, "stream", arena.NewTrue())
	replace(body, "stream_options", options)
	replace(body, "max_tokens", arena.NewNumberString(strconv.FormatInt(int64(req.MaxTokens), 10)))
	replace(body, "priority", arena.NewNumberInt(req.Priority))
	// The newer name of max_tokens would otherwise win over the router's limit.
	remove(body, "max_completion_tokens")
	return body.MarshalTo(dst), nil
}

func replace(body *fastjson.Value, key string, value *fastjson.Value) {
	remove(body, key)
	body.Set(key, value)
}

// remove deletes every member with that key. A body may repeat a key, and most
// parsers let the last one win: were only the first replaced, the caller's own
// max_tokens would reach the engine and the answer could pass the reservation.
func remove(body *fastjson.Value, key string) {
	for body.Exists(key) {
		body.Del(key)
	}
}
