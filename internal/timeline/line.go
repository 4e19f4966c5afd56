// Package timeline merges the event logs of many processes into one timeline in causal
// order, filters it and summarizes it.
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
	Attrs   []Attr // attributes specific to the event, in the order of the log
	Raw     []byte // the line as it is in the log
}

// Attr is one attribute. Its value is the text of a JSON value; strings are unquoted.
type Attr struct {
	Key   string
	Value string
}

// Attr returns the value of an attribute, or "" if the line does not have it.
func (l *Line) Attr(key string) string {
	for _, attr := range l.Attrs {
		if attr.Key == key {
			return attr.Value
		}
	}
	return ""
}

// Decode parses one line of a log. The result does not refer to data. The error wraps
// ErrMalformedLine.
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
	var fieldErr error
	object.Visit(func(key []byte, field *fastjson.Value) {
		if err := line.setField(string(key), field); err != nil && fieldErr == nil {
			fieldErr = errors.Wrapf(ErrMalformedLine, "%s: %v", key, err)
		}
	})
	if fieldErr != nil {
		return Line{}, fieldErr
	}
	if line.Time.IsZero() || line.Number == 0 || line.Process == "" || line.Seq == 0 || line.Clock == 0 {
		return Line{}, errors.Wrap(ErrMalformedLine, "a required field is missing")
	}
	return line, nil
}

// setField stores one field of the JSON object.
func (l *Line) setField(key string, field *fastjson.Value) (err error) {
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
		l.Attrs = append(l.Attrs, Attr{Key: key, Value: valueText(field)})
	}
	return err
}

func valueText(value *fastjson.Value) string {
	if value.Type() == fastjson.TypeString {
		return string(value.GetStringBytes())
	}
	return value.String()
}
