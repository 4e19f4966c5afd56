package timeline

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// MaxLineBytes is the maximum length of a line. A longer line counts as malformed.
const MaxLineBytes = 1 << 20

// Log contains the lines read from one or more logs.
type Log struct {
	Lines          []Line
	MalformedLines int // lines that are not events; they are skipped
}

// Read adds the lines of one log. Malformed lines are counted and cause no error, because
// the log of a killed process often ends within a line. Read returns errors of r.
func (l *Log) Read(r io.Reader) error {
	reader := bufio.NewReaderSize(r, MaxLineBytes)
	for {
		data, err := reader.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			l.MalformedLines++
			err = skipLine(reader)
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
		l.MalformedLines++
		return
	}
	l.Lines = append(l.Lines, line)
}

// skipLine skips the rest of a line that is too long.
func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}
