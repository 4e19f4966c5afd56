package timeline

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// MaxLineBytes bounds one line of a log. A longer line counts as damaged.
const MaxLineBytes = 1 << 20

// Log is what was read of one or more logs.
type Log struct {
	Lines   []Line
	Damaged int // lines that are no events; they are passed over
}

// Read adds the lines of one log. A damaged line is counted, never an error: the
// end of a killed process's log is often half a line. The error is that of r.
func (l *Log) Read(r io.Reader) error {
	lines := bufio.NewReaderSize(r, MaxLineBytes)
	for {
		data, err := lines.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			l.Damaged++
			err = skipLine(lines)
		} else {
			l.add(data)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "timeline: reading a log")
		}
	}
}

func (l *Log) add(data []byte) {
	data = bytes.TrimSpace(data)
	if len(data) == 0 {
		return
	}
	line, err := Decode(data)
	if err != nil {
		l.Damaged++
		return
	}
	l.Lines = append(l.Lines, line)
}

// skipLine reads past the rest of a line that is too long.
func skipLine(lines *bufio.Reader) error {
	for {
		_, err := lines.ReadSlice('\n')
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}
