// Package timeline merges the event logs of many processes into one time line
// in causal order, and filters it.
package timeline

import (
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fastjson"

	"chicorytiller.example/chicorytiller/internal/event"
)

// ErrMalformedLine is wrapped by the errors of lines that are not events.
var ErrMalformedLine = errors.New("timeline: malformed line")

// Line is one event of one process.
type Line struct {
	Time    time.Time
	Level   string
	Text    string
	Number  event.Number
	Process string
	Seq     uint64
	Clock   uint64
	Attrs   []Attr // those of the event itself, in the log's order
	Raw     []byte // the line as the log has it
}

// Attr is one attribute. Its value is a JSON value's text, strings unquoted.
type Attr struct {
	Key   string
	Value string
}

// Attr gives an attribute's value, or "".
func (l *Line) Attr(key string) string {
	for _, attr := range l.Attrs {
		if attr.Key == key {
			return attr.Value
		}
	}
	return ""
}

// Decode parses one line of a log. The result does not refer to data. Its error wraps ErrMalformedLine.
func Decode(data []byte) (Line, error) {
	value, err := fastjson.ParseBytes(data)
	if err != nil {
		return Line{}, errors.Wrap(ErrMalformedLine, err.Error())
	}
	object, err := value.Object()
	if err != nil {
		return Line{}, errors.Wrap(ErrMalformedLine, err.Error())
	}
	line := Line{Raw: append([]byte(nil), data...)}
	var faults error
	object.Visit(func(key []byte, field *fastjson.Value) {
		if err := line.take(string(key), field); err != nil && faults == nil {
			faults = errors.Wrapf(ErrMalformedLine, "%s: %v", key, err)
		}
	})
	if faults != nil {
		return Line{}, faults
	}
	if line.Time.IsZero() || line.Number == 0 || line.Process == "" || line.Seq == 0 || line.Clock == 0 {
		return Line{}, errors.Wrap(ErrMalformedLine, "a required field is missing")
	}
	return line, nil
}

// take stores one field of the JSON object.
func (l *Line) take(key string, field *fastjson.Value) (err error) {
	switch key {
	case "time":
		l.Time, err = time.Parse(time.RFC3339Nano, string(field.GetStringBytes()))
	case "level":
		l.Level = string(field.GetStringBytes())
	case "msg":
		l.Text = string(field.GetStringBytes())
	case event.KeyNumber:
		var number int
		number, err = field.Int()
		l.Number = event.Number(number)
	case event.KeyProcess:
		l.Process = string(field.GetStringBytes())
	case event.KeySeq:
		l.Seq, err = field.Uint64()
	case event.KeyClock:
		l.Clock, err = field.Uint64()
	default:
		l.Attrs = append(l.Attrs, Attr{Key: key, Value: textOf(field)})
	}
	return err
}

func textOf(value *fastjson.Value) string {
	if value.Type() == fastjson.TypeString {
		return string(value.GetStringBytes())
	}
	return value.String()
}
