package peers

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/inbound"
)

// accountedConn returns the router's end of a connection of a pool.
func accountedConn(c *qt.C, pool *inbound.Pool) *inbound.Conn {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = plain.Close() }() // one connection is enough
	peer, err := net.Dial("tcp", plain.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = peer.Close() }) // the test is over
	conn, err := (&inbound.Listener{Listener: plain, Pool: pool}).Accept()
	c.Assert(err, qt.IsNil)
	return conn.(*inbound.Conn)
}

// Guards against messages of routers that are changed, or whose memory is counted for ever.
func TestMessagesAreAccountedFor(t *testing.T) {
	c := qt.New(t)
	pool := inbound.NewPool(inbound.Limits{RequestBytes: 1 << 20})
	conn := accountedConn(c, pool)
	conn.CountMessages()
	var sent bytes.Buffer
	encoder := gob.NewEncoder(&sent)
	sizes := []int{0, 1, 100, 127, 128, 300, 70_000, 3}
	for _, size := range sizes {
		c.Assert(encoder.Encode(Gift{Age: 1, Tokens: map[string]int64{string(make([]byte, size)): 1}}), qt.IsNil)
	}
	reader := &messageReader{conn: conn, source: bufio.NewReader(iotest.OneByteReader(&sent))}
	decoder := gob.NewDecoder(reader)
	for _, size := range sizes {
		var gift Gift
		c.Assert(decoder.Decode(&gift), qt.IsNil)
		for account := range gift.Tokens {
			c.Assert(account, qt.HasLen, size)
		}
		c.Assert(pool.State().Held, qt.Equals, int64(0))
	}
	c.Assert(pool.State().PeakHeld > 70_000, qt.IsTrue)
}

// Guards against memory taken for a message that is announced longer than any, or for which there is none.
func TestMessagesTooLargeAreNotRead(t *testing.T) {
	c := qt.New(t)
	pool := inbound.NewPool(inbound.Limits{RequestBytes: 1 << 20})
	for _, length := range []string{"\xfc\x3f\xff\xff\xff", "\xf8\xff\xff\xff\xff\xff\xff\xff\xff", "\xf0", "\xfd\x0f\xff\xff"} {
		reader := &messageReader{conn: accountedConn(c, pool), source: bufio.NewReader(bytes.NewReader([]byte(length + "rest")))}
		_, err := io.ReadAll(reader)
		c.Assert(err, qt.ErrorIs, errMessage, qt.Commentf("%q", length))
	}
	c.Assert(pool.State().Held, qt.Equals, int64(0))
}
