package httpbackend

import (
	"github.com/pkg/errors"
	"github.com/valyala/fastjson"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/id"
)

// maxChunkTokens bounds "tokens" of one chunk, so that sums can't overflow.
const maxChunkTokens = 1 << 31

// maxOffset bounds "offset" for the same reason.
const maxOffset = 1 << 53

// decoded is one event of a stream: a chunk with content, or the last one,
// which has only a usage.
type decoded struct {
	chunk     backend.Chunk
	usageOnly bool
}

// decodeChunk reads one event's JSON. Raw is set to data itself.
func decodeChunk(parser *fastjson.Parser, data []byte) (decoded, error) {
	var out decoded
	event, err := parser.ParseBytes(data)
	if err != nil {
		return out, errors.Wrap(ErrMalformedChunk, err.Error())
	}
	out.chunk.Raw = data
	choices := event.GetArray("choices")
	usage, err := decodeUsage(event.Get("usage"))
	if err != nil {
		return out, err
	}
	if len(choices) == 0 {
		out.usageOnly = true
		out.chunk.Usage = usage
		if usage == nil {
			return out, errors.Wrap(ErrMalformedChunk, "neither choices nor usage")
		}
		return out, nil
	}
	if len(choices) != 1 {
		return out, errors.Wrap(ErrMalformedChunk, "more than one choice")
	}
	out.chunk.Content = string(choices[0].GetStringBytes("delta", "content"))
	out.chunk.FinishReason = string(choices[0].GetStringBytes("finish_reason"))
	out.chunk.Usage = usage
	err = decodePosition(event, &out.chunk)
	return out, err
}

func decodePosition(event *fastjson.Value, chunk *backend.Chunk) error {
	offset, err := decodeInt(event.Get("offset"), maxOffset)
	if err != nil {
		return errors.Wrap(err, "offset")
	}
	tokens, err := decodeInt(event.Get("tokens"), maxChunkTokens)
	if err != nil {
		return errors.Wrap(err, "tokens")
	}
	// A repeat of text without tokens couldn't be told from new text.
	if tokens == 0 && chunk.Content != "" {
		return errors.Wrap(ErrMalformedChunk, "content without tokens")
	}
	chunk.Offset = offset
	chunk.Tokens = id.Tokens(tokens)
	return nil
}

func decodeUsage(usage *fastjson.Value) (*backend.Usage, error) {
	if usage == nil || usage.Type() == fastjson.TypeNull {
		return nil, nil
	}
	prompt, err := decodeInt(usage.Get("prompt_tokens"), maxOffset)
	if err != nil {
		return nil, errors.Wrap(err, "prompt_tokens")
	}
	completion, err := decodeInt(usage.Get("completion_tokens"), maxOffset)
	if err != nil {
		return nil, errors.Wrap(err, "completion_tokens")
	}
	cached := usage.GetInt64("prompt_tokens_details", "cached_tokens")
	return &backend.Usage{
		PromptTokens:     id.Tokens(prompt),
		CompletionTokens: id.Tokens(completion),
		CachedTokens:     id.Tokens(max(cached, 0)),
	}, nil
}

// decodeInt reads a required whole number from 0 to limit.
func decodeInt(value *fastjson.Value, limit int64) (int64, error) {
	if value == nil {
		return 0, errors.Wrap(ErrMalformedChunk, "missing")
	}
	number, err := value.Int64()
	if err != nil {
		return 0, errors.Wrap(ErrMalformedChunk, err.Error())
	}
	if number < 0 || number > limit {
		return 0, errors.Wrapf(ErrMalformedChunk, "%d is out of range", number)
	}
	return number, nil
}
