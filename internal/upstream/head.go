package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/textproto"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/httphead"
)

// readHead reads the head of one response, which may be informational.
func (c *conn) readHead(method string) (*http.Response, error) {
	isVersion10, err := c.beginsWith("HTTP/1.0 ")
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if isVersion10 {
		buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails
		c.limiter.record = bytes.NewBuffer(bytes.Clone(buffered))
		defer func() { c.limiter.record = nil }()
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if isVersion10 && hasTransferCoding(c.limiter.record) {
		return nil, errors.New("response in HTTP/1.0 with transfer coding")
	}
	return response, httphead.Check(response)
}

// beginsWith reports whether the next bytes are those of prefix. It waits for no byte after the first that differs.
func (c *conn) beginsWith(prefix string) (bool, error) {
	for i := range len(prefix) {
		next, err := c.reader.Peek(i + 1)
		if err != nil {
			return false, err
		}
		if next[i] != prefix[i] {
			return false, nil
		}
	}
	return true, nil
}

// hasTransferCoding reports whether a head has a field for the transfer coding of the body. HTTP/1.0 has no such field:
// http.ReadResponse drops it and returns the encoded body.
func hasTransferCoding(head io.Reader) bool {
	reader := textproto.NewReader(bufio.NewReader(head))
	_, _ = reader.ReadLine()             // http.ReadResponse has accepted the head
	fields, _ := reader.ReadMIMEHeader() // as above
	return len(fields["Transfer-Encoding"]) > 0
}
