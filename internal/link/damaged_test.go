package link

import (
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
)

// listMessage is a message with a list of structs, as several of the core's are.
type listMessage struct {
	Envelope
	Items []struct {
		Name string
		Pad  [16]int64
	} `msgpack:"i"`
}

// A peer's bytes are damaged on the way, or the peer is: eight bytes claim a list of
// a million structs. The call ends with ErrMalformed; the list is never made, so
// that a longer one could not end the process for lack of memory.
func TestDamagedBodyIsRefusedCheaply(t *testing.T) {
	const most = 256 << 10
	c := qt.New(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err := decodeBody([]byte{0x81, 0xa1, 'i', 0xdd, 0x00, 0x10, 0x00, 0x00}, &listMessage{}, 1024)
	runtime.ReadMemStats(&after)
	c.Assert(err, qt.ErrorIs, ErrMalformed)
	c.Assert(after.TotalAlloc-before.TotalAlloc < most, qt.IsTrue, qt.Commentf("%d bytes", after.TotalAlloc-before.TotalAlloc))
	c.Assert(decodeBody([]byte{0x80, 0x80}, &listMessage{}, 1024), qt.ErrorIs, ErrMalformed)
}
