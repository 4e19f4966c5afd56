// Package timeline merges the event logs of many processes into one time line
// in causal order, and filters it.
package timeline

import (
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fastjson"

	"chicorytiller.example/chicorytiller/internal/event"
)

// ErrDamaged is wrapped by the error of a line that is no event.
var ErrDamaged = errors.New("timeline: damaged line")

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

// Decode reads one line of a log. It copies what it keeps. Its error wraps ErrDamaged.
func Decode(data []byte) (Line, error) {
	value, err := fastjson.ParseBytes(data)
	if err != nil {
		return Line{}, errors.Wrap(ErrDamaged, err.Error())
	}
	object, err := value.Object()
	if err != nil {
		return Line{}, errors.Wrap(ErrDamaged, err.Error())
	}
	line := Line{Raw: append([]byte(nil), data...)}
	var faults error
	object.Visit(func(key []byte, field *fastjson.Value) {
		if err := line.take(string(key), field); err != nil && faults == nil {
			faults = errors.Wrapf(ErrDamaged, "%s: %v", key, err)
		}
	})
	if faults != nil {
		return Line{}, faults
	}
	if line.Time.IsZero() || line.Number == 0 || line.Process == "" || line.Seq == 0 || line.Clock == 0 {
		return Line{}, errors.Wrap(ErrDamaged, "a field that each event has is missing")
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
