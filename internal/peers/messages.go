package peers

import (
	"bufio"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/inbound"
)

// errMessage is returned for a message that no router sends, or for which there is no memory.
var errMessage = errors.New("peers: message too large")

// maxMessage is the longest message that is read: gob takes its memory before it comes.
const maxMessage = 16 << 20

// messageReader passes on the messages of a peer, and accounts for the memory that gob takes for each. A message is
// its length, as gob encodes unsigned integers, and so many bytes.
type messageReader struct {
	conn   *inbound.Conn // nil: nothing is accounted for
	source *bufio.Reader

	length     uint64 // so far as it has been read
	lengthLeft int    // bytes of the length that have yet to come
	left       uint64 // bytes of the message that have yet to come
}

// Read implements io.Reader.
func (m *messageReader) Read(p []byte) (int, error) {
	n, err := m.source.Read(p)
	for rest := p[:n]; len(rest) > 0; {
		if m.left > 0 {
			part := min(m.left, uint64(len(rest)))
			rest = rest[part:]
			if m.left -= part; m.left == 0 {
				m.conn.EndMessage()
			}
			continue
		}
		if !m.readLength(rest[0]) {
			return 0, errMessage
		}
		rest = rest[1:]
	}
	return n, err
}

// maxLengthBytes is how many bytes a length can have.
const maxLengthBytes = 8

// readLength reads a byte of a message's length. It returns false if the message can't be read.
func (m *messageReader) readLength(b byte) bool {
	switch {
	case m.lengthLeft > 0:
		m.length = m.length<<8 | uint64(b)
		m.lengthLeft--
	case b < 0x80:
		m.length = uint64(b)
	default: // the negated number of bytes that follow
		m.length, m.lengthLeft = 0, 0x100-int(b)
		return m.lengthLeft <= maxLengthBytes
	}
	if m.lengthLeft > 0 {
		return true
	}
	m.left = m.length
	return m.left == 0 || m.left <= maxMessage && m.conn.BeginMessage(int64(m.left))
}
