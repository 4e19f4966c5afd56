package enginestub

import (
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fastjson"
)

// ErrBadRequest is returned for invalid request bodies and event IDs.
var ErrBadRequest = errors.New("enginestub: bad request")

var parsers fastjson.ParserPool

// request holds the fields of a chat-completions request that the engine uses.
type request struct {
	model        string
	prompt       string // roles and content of all messages
	contentBytes int    // length of the content alone; determines the number of prompt tokens
	maxTokens    int
	priority     int
	stream       bool
	includeUsage bool
}

func parseRequest(body []byte) (*request, error) {
	parser := parsers.Get()
	defer parsers.Put(parser)
	value, err := parser.ParseBytes(body)
	if err != nil {
		return nil, errors.Wrap(ErrBadRequest, err.Error())
	}
	messages := value.GetArray("messages")
	if len(messages) == 0 {
		return nil, errors.Wrap(ErrBadRequest, "no messages")
	}
	req := &request{
		model:        string(value.GetStringBytes("model")),
		maxTokens:    value.GetInt("max_tokens"),
		priority:     value.GetInt("priority"),
		stream:       value.GetBool("stream"),
		includeUsage: value.GetBool("stream_options", "include_usage"),
	}
	var prompt strings.Builder
	for _, message := range messages {
		prompt.Write(message.GetStringBytes("role"))
		prompt.WriteByte('\n')
		req.contentBytes += writeContent(&prompt, message.Get("content"))
		prompt.WriteByte('\n')
	}
	req.prompt = prompt.String()
	return req, nil
}

// writeContent appends a message's content, which is a string or a list of parts with text, and
// returns its length.
func writeContent(prompt *strings.Builder, content *fastjson.Value) int {
	if content == nil {
		return 0
	}
	if content.Type() == fastjson.TypeString {
		n, _ := prompt.Write(content.GetStringBytes())
		return n
	}
	total := 0
	for _, part := range content.GetArray() {
		n, _ := prompt.Write(part.GetStringBytes("text"))
		total += n
	}
	return total
}

// promptTokens returns ceil(contentBytes / bytesPerToken).
func (r *request) promptTokens(bytesPerToken int) int {
	return (r.contentBytes + bytesPerToken - 1) / bytesPerToken
}
