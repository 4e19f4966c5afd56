package native

import (
	"fmt"
	"unicode/utf8"

	"github.com/valyala/fastjson"

	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/id"
)

// chatRequest is what the router needs to know of a chat-completions body.
type chatRequest struct {
	Model        id.Model
	Stream       bool
	ContentBytes int64 // bytes of all texts that go into the prompt
	MaxTokens    int64 // the caller's output cap; 0: none given
}

// parseLimits bounds what parseChat accepts.
type parseLimits struct {
	messages       int
	maxOutputAsked int64
}

// Fields of the body that the router reads itself.
const (
	fieldModel               = "model"
	fieldMessages            = "messages"
	fieldStream              = "stream"
	fieldN                   = "n"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
)

// passedFields are the fields that change neither the prompt's length nor the
// answer's shape: they are passed on to the engine as they are. Any other field
// (tools, functions, audio, ...) is refused, since it could add tokens to the
// prompt that were never reserved, or text to the answer that is never billed.
var passedFields = map[string]bool{
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

// roles are the roles of messages whose whole prompt text is their content.
var roles = map[string]bool{"system": true, "developer": true, "user": true, "assistant": true}

var chatParsers fastjson.ParserPool

// parseChat checks a chat-completions body. Its errors are of type *parseError.
func parseChat(body []byte, limits parseLimits) (chatRequest, error) {
	if !utf8.Valid(body) {
		return chatRequest{}, refuse(forward.Malformed, "the body is not valid UTF-8")
	}
	// The parser alone is lenient: it takes some texts that an engine reads
	// in another way or not at all.
	if err := fastjson.ValidateBytes(body); err != nil {
		return chatRequest{}, refuse(forward.Malformed, "the body is not valid JSON")
	}
	parser := chatParsers.Get()
	defer chatParsers.Put(parser)
	root, err := parser.ParseBytes(body)
	if err != nil {
		return chatRequest{}, refuse(forward.Malformed, "the body is not valid JSON")
	}
	object, err := root.Object()
	if err != nil {
		return chatRequest{}, refuse(forward.Malformed, "the body must be a JSON object")
	}
	return readChat(object, limits)
}

func readChat(object *fastjson.Object, limits parseLimits) (chatRequest, error) {
	var parsed chatRequest
	err := eachField(object, "", func(name string, value *fastjson.Value) error {
		return parsed.readField(name, value, limits)
	})
	if err != nil {
		return chatRequest{}, err
	}
	if parsed.Model == "" {
		return chatRequest{}, refuse(forward.Malformed, "a model must be named")
	}
	if object.Get(fieldMessages) == nil {
		return chatRequest{}, refuse(forward.Malformed, "messages must not be empty")
	}
	return parsed, nil
}

// eachField visits the fields of an object and refuses one that stands twice.
//
// Of two fields with one name the router and an engine might read different
// ones: a request could then reserve for a short prompt and run a long one.
func eachField(object *fastjson.Object, path string, visit func(name string, value *fastjson.Value) error) error {
	seen := make(map[string]bool, object.Len())
	var failed error
	object.Visit(func(key []byte, value *fastjson.Value) {
		if failed != nil {
			return
		}
		name := string(key)
		if seen[name] {
			failed = refuse(forward.Malformed, "the field %q stands twice", name)
			return
		}
		seen[name] = true
		failed = visit(name, value)
	})
	return failed
}

func (r *chatRequest) readField(name string, value *fastjson.Value, limits parseLimits) error {
	switch name {
	case fieldModel:
		return r.readModel(value)
	case fieldMessages:
		return r.readMessages(value, limits.messages)
	case fieldStream:
		return r.readStream(value)
	case fieldN:
		return checkN(value)
	case fieldMaxTokens, fieldMaxCompletionTokens:
		return r.readMaxTokens(name, value, limits.maxOutputAsked)
	}
	if !passedFields[name] {
		return refuse(forward.Malformed, "the field %q is not supported", name)
	}
	return nil
}

func (r *chatRequest) readModel(value *fastjson.Value) error {
	name, err := value.StringBytes()
	if err != nil || len(name) == 0 {
		return refuse(forward.Malformed, "model must be a string that is not empty")
	}
	r.Model = id.Model(name)
	return nil
}

func (r *chatRequest) readStream(value *fastjson.Value) error {
	if value.Type() == fastjson.TypeNull {
		return nil
	}
	stream, err := value.Bool()
	if err != nil {
		return refuse(forward.Malformed, "stream must be true or false")
	}
	r.Stream = stream
	return nil
}

// checkN refuses several choices: each would be an answer of its own to reserve for.
func checkN(value *fastjson.Value) error {
	if value.Type() == fastjson.TypeNull {
		return nil
	}
	n, err := value.Int64()
	if err != nil || n != 1 {
		return refuse(forward.Malformed, "n must be 1")
	}
	return nil
}

// readMaxTokens takes the lower of the two names of the output cap.
func (r *chatRequest) readMaxTokens(name string, value *fastjson.Value, most int64) error {
	if value.Type() == fastjson.TypeNull {
		return nil
	}
	asked, err := value.Int64()
	if err != nil || asked < 1 || asked > most {
		return refuse(forward.Malformed, "%s must be a whole number from 1 to %d", name, most)
	}
	if r.MaxTokens == 0 || asked < r.MaxTokens {
		r.MaxTokens = asked
	}
	return nil
}

func (r *chatRequest) readMessages(value *fastjson.Value, most int) error {
	messages, err := value.Array()
	if err != nil || len(messages) == 0 {
		return refuse(forward.Malformed, "messages must be an array that is not empty")
	}
	if len(messages) > most {
		return refuse(forward.BodyTooLarge, "at most %d messages are accepted", most)
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

// messageBytes counts the bytes of a message's texts, its name included.
func messageBytes(message *fastjson.Value) (int64, error) {
	object, err := message.Object()
	if err != nil {
		return 0, refuse(forward.Malformed, "each message must be an object")
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
		return 0, refuse(forward.Malformed, "each message must have a role and a content")
	}
	return total, nil
}

func messageFieldBytes(name string, value *fastjson.Value) (int64, error) {
	switch name {
	case "role":
		role, err := value.StringBytes()
		if err != nil || !roles[string(role)] {
			return 0, refuse(forward.Malformed, "role must be system, developer, user or assistant")
		}
		return 0, nil
	case "name":
		text, err := value.StringBytes()
		if err != nil {
			return 0, refuse(forward.Malformed, "name must be a string")
		}
		return int64(len(text)), nil
	case "content":
		return contentBytes(value)
	}
	return 0, refuse(forward.Malformed, "the message field %q is not supported", name)
}

// contentBytes counts a content, which is a text or an array of text parts.
func contentBytes(value *fastjson.Value) (int64, error) {
	if text, err := value.StringBytes(); err == nil {
		return int64(len(text)), nil
	}
	parts, err := value.Array()
	if err != nil {
		return 0, refuse(forward.Malformed, "content must be a string or an array of text parts")
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
		return 0, refuse(forward.Malformed, "each part of a content must be an object")
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
		return refuse(forward.Malformed, "only text parts are supported")
	})
	return total, err
}

// parseError is why a body isn't accepted.
type parseError struct {
	cause  forward.Cause
	detail string
}

func (e *parseError) Error() string {
	return "native: " + e.detail
}

func refuse(cause forward.Cause, format string, args ...any) error {
	return &parseError{cause: cause, detail: fmt.Sprintf(format, args...)}
}
