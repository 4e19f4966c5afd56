package native

import (
	"fmt"
	"unicode/utf8"

	"github.com/valyala/fastjson"

	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/id"
)

// chatRequest holds the fields of a chat-completions body that the router uses.
type chatRequest struct {
	Model        id.Model
	Stream       bool
	ContentBytes int64 // total size of all texts in the prompt
	MaxTokens    int64 // the caller's output limit; 0 if not set
}

// parseLimits are the limits that parseChat enforces.
type parseLimits struct {
	maxMessages     int
	maxOutputTokens int64
}

// Fields of the body that the router interprets.
const (
	fieldModel               = "model"
	fieldMessages            = "messages"
	fieldStream              = "stream"
	fieldN                   = "n"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
)

// passthroughFields are the fields that the engine gets unchanged, since they affect neither
// the length of the prompt nor the format of the answer. All other fields (tools, functions,
// audio, ...) are refused: they could add tokens to the prompt that were not reserved, or
// text to the answer that is not billed.
var passthroughFields = map[string]bool{
	"stream_options":    true,
	"temperature":       true,
	"top_p":             true,
	"top_k":             true,
	"min_p":             true,
	"stop":              true,
	"seed":              true,
	"presence_penalty":  true,
	"frequency_penalty": true,
	"logit_bias":        true,
	"response_format":   true,
	"user":              true,
	"metadata":          true,
}

// supportedRoles are the roles of messages that have no prompt text besides name and content.
var supportedRoles = map[string]bool{"system": true, "developer": true, "user": true, "assistant": true}

var chatParsers fastjson.ParserPool

// parseChat parses and validates a chat-completions body. Errors are of type *parseError.
func parseChat(body []byte, limits parseLimits) (chatRequest, error) {
	if !utf8.Valid(body) {
		return chatRequest{}, parseErrorf(forward.Malformed, "the body is not valid UTF-8")
	}
	if err := checkShape(body); err != nil {
		return chatRequest{}, err
	}
	// ParseBytes alone accepts some invalid JSON, which an engine may reject or parse
	// differently.
	if err := fastjson.ValidateBytes(body); err != nil {
		return chatRequest{}, parseErrorf(forward.Malformed, "the body is not valid JSON")
	}
	parser := chatParsers.Get()
	defer chatParsers.Put(parser)
	root, err := parser.ParseBytes(body)
	if err != nil {
		return chatRequest{}, parseErrorf(forward.Malformed, "the body is not valid JSON")
	}
	object, err := root.Object()
	if err != nil {
		return chatRequest{}, parseErrorf(forward.Malformed, "the body must be a JSON object")
	}
	return parseChatObject(object, limits)
}

// Limits on the shape of a body, whatever its length.
const (
	// maxValues is how many values it may have: each takes about a hundred bytes.
	maxValues = 1 << 16
	// maxDepth is how deep it may be nested: each level takes a part of the stack, whose end is that of the process.
	maxDepth = 256
)

// checkShape returns an error for a body with too many values, counted by what begins or separates them, or with too
// many levels. It must come before the body is parsed or validated, and so takes any bytes.
func checkShape(body []byte) error {
	values, depth, inString := 1, 0, false
	for i := 0; i < len(body); i++ {
		c := body[i]
		if inString {
			switch c {
			case '\\':
				i++ // the next byte is escaped
			case '"':
				inString = false
			}
			continue
		}
		switch c {
		case '"':
			inString = true
		case ',':
			values++
		case '[', '{':
			values++
			depth++
		case ']', '}':
			depth--
		}
		if values > maxValues {
			return parseErrorf(forward.Malformed, "the body has too many values")
		}
		if depth > maxDepth {
			return parseErrorf(forward.Malformed, "the body is nested too deep")
		}
	}
	return nil
}

func parseChatObject(object *fastjson.Object, limits parseLimits) (chatRequest, error) {
	var parsed chatRequest
	err := eachField(object, "", func(name string, value *fastjson.Value) error {
		return parsed.parseField(name, value, limits)
	})
	if err != nil {
		return chatRequest{}, err
	}
	if parsed.Model == "" {
		return chatRequest{}, parseErrorf(forward.Malformed, "a model must be named")
	}
	if object.Get(fieldMessages) == nil {
		return chatRequest{}, parseErrorf(forward.Malformed, "messages must not be empty")
	}
	return parsed, nil
}

// eachField calls visit for each field of an object, and returns an error if a field occurs
// twice.
//
// Of two fields with the same name, the router and an engine might use different ones: a
// request could reserve tokens for a short prompt and run a long one.
func eachField(object *fastjson.Object, path string, visit func(name string, value *fastjson.Value) error) error {
	seen := make(map[string]bool, object.Len())
	var firstErr error
	object.Visit(func(key []byte, value *fastjson.Value) {
		if firstErr != nil {
			return
		}
		name := string(key)
		if seen[name] {
			firstErr = parseErrorf(forward.Malformed, "the field %q stands twice", name)
			return
		}
		seen[name] = true
		firstErr = visit(name, value)
	})
	return firstErr
}

func (r *chatRequest) parseField(name string, value *fastjson.Value, limits parseLimits) error {
	switch name {
	case fieldModel:
		return r.parseModel(value)
	case fieldMessages:
		return r.parseMessages(value, limits.maxMessages)
	case fieldStream:
		return r.parseStream(value)
	case fieldN:
		return checkN(value)
	case fieldMaxTokens, fieldMaxCompletionTokens:
		return r.parseMaxTokens(name, value, limits.maxOutputTokens)
	}
	if !passthroughFields[name] {
		return parseErrorf(forward.Malformed, "the field %q is not supported", name)
	}
	return nil
}

func (r *chatRequest) parseModel(value *fastjson.Value) error {
	name, err := value.StringBytes()
	if err != nil || len(name) == 0 {
		return parseErrorf(forward.Malformed, "model must be a string that is not empty")
	}
	r.Model = id.Model(name)
	return nil
}

func (r *chatRequest) parseStream(value *fastjson.Value) error {
	if value.Type() == fastjson.TypeNull {
		return nil
	}
	stream, err := value.Bool()
	if err != nil {
		return parseErrorf(forward.Malformed, "stream must be true or false")
	}
	r.Stream = stream
	return nil
}

// checkN refuses requests for several choices: tokens are reserved for one answer only.
func checkN(value *fastjson.Value) error {
	if value.Type() == fastjson.TypeNull {
		return nil
	}
	n, err := value.Int64()
	if err != nil || n != 1 {
		return parseErrorf(forward.Malformed, "n must be 1")
	}
	return nil
}

// parseMaxTokens parses max_tokens or max_completion_tokens; the lower one applies.
func (r *chatRequest) parseMaxTokens(name string, value *fastjson.Value, limit int64) error {
	if value.Type() == fastjson.TypeNull {
		return nil
	}
	requested, err := value.Int64()
	if err != nil || requested < 1 || requested > limit {
		return parseErrorf(forward.Malformed, "%s must be a whole number from 1 to %d", name, limit)
	}
	if r.MaxTokens == 0 || requested < r.MaxTokens {
		r.MaxTokens = requested
	}
	return nil
}

func (r *chatRequest) parseMessages(value *fastjson.Value, limit int) error {
	messages, err := value.Array()
	if err != nil || len(messages) == 0 {
		return parseErrorf(forward.Malformed, "messages must be an array that is not empty")
	}
	if len(messages) > limit {
		return parseErrorf(forward.BodyTooLarge, "at most %d messages are accepted", limit)
	}
	for _, message := range messages {
		bytes, err := messageBytes(message)
		if err != nil {
			return err
		}
		r.ContentBytes += bytes
	}
	return nil
}

// messageBytes returns the total size of a message's texts, including its name.
func messageBytes(message *fastjson.Value) (int64, error) {
	object, err := message.Object()
	if err != nil {
		return 0, parseErrorf(forward.Malformed, "each message must be an object")
	}
	var total int64
	err = eachField(object, "messages.", func(name string, value *fastjson.Value) error {
		bytes, err := messageFieldBytes(name, value)
		total += bytes
		return err
	})
	if err != nil {
		return 0, err
	}
	if object.Get("role") == nil || object.Get("content") == nil {
		return 0, parseErrorf(forward.Malformed, "each message must have a role and a content")
	}
	return total, nil
}

func messageFieldBytes(name string, value *fastjson.Value) (int64, error) {
	switch name {
	case "role":
		role, err := value.StringBytes()
		if err != nil || !supportedRoles[string(role)] {
			return 0, parseErrorf(forward.Malformed, "role must be system, developer, user or assistant")
		}
		return 0, nil
	case "name":
		text, err := value.StringBytes()
		if err != nil {
			return 0, parseErrorf(forward.Malformed, "name must be a string")
		}
		return int64(len(text)), nil
	case "content":
		return contentBytes(value)
	}
	return 0, parseErrorf(forward.Malformed, "the message field %q is not supported", name)
}

// contentBytes returns the size of a content, which is a string or an array of text parts.
func contentBytes(value *fastjson.Value) (int64, error) {
	if text, err := value.StringBytes(); err == nil {
		return int64(len(text)), nil
	}
	parts, err := value.Array()
	if err != nil {
		return 0, parseErrorf(forward.Malformed, "content must be a string or an array of text parts")
	}
	var total int64
	for _, part := range parts {
		bytes, err := partBytes(part)
		if err != nil {
			return 0, err
		}
		total += bytes
	}
	return total, nil
}

func partBytes(part *fastjson.Value) (int64, error) {
	object, err := part.Object()
	if err != nil {
		return 0, parseErrorf(forward.Malformed, "each part of a content must be an object")
	}
	var total int64
	err = eachField(object, "messages.content.", func(name string, value *fastjson.Value) error {
		text, err := value.StringBytes()
		switch {
		case name == "type" && err == nil && string(text) == "text":
			return nil
		case name == "text" && err == nil:
			total += int64(len(text))
			return nil
		}
		return parseErrorf(forward.Malformed, "only text parts are supported")
	})
	return total, err
}

// parseError is the reason why a body is refused.
type parseError struct {
	cause  forward.Cause
	detail string
}

func (e *parseError) Error() string {
	return "native: " + e.detail
}

func parseErrorf(cause forward.Cause, format string, args ...any) error {
	return &parseError{cause: cause, detail: fmt.Sprintf(format, args...)}
}
