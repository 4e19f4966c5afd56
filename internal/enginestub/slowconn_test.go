package enginestub

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"
)

// Guards against a delay of requests that fit into one piece, and of later requests on a connection.
func TestOnlyBodiesAreReadSlowly(t *testing.T) {
	c := qt.New(t)
	client, server := net.Pipe()
	slow := newSlowConn(server)
	delays := 0
	slow.sleep = func(d time.Duration) {
		c.Check(d, qt.Equals, slowPieceDelay)
		delays++
	}
	buf := make([]byte, 4*slowPieceBytes)
	var writer conc.WaitGroup
	for _, request := range []struct{ bytes, delays int }{{500, 0}, {3 * slowPieceBytes, 2}, {500, 0}} {
		delays = 0
		writer.Go(func() { _, _ = client.Write(make([]byte, request.bytes)) })
		for read := 0; read < request.bytes; {
			n, err := slow.Read(buf)
			c.Assert(err, qt.IsNil)
			read += n
		}
		c.Check(delays, qt.Equals, request.delays)
		writer.Go(func() { _, _ = client.Read(make([]byte, 10)) })
		_, err := slow.Write([]byte("ok"))
		c.Assert(err, qt.IsNil)
		writer.Wait()
	}
}
