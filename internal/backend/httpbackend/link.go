package httpbackend

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"chicorytiller.example/chicorytiller/internal/backend"
)

// Buffer sizes of one connection. An event has to fit into eventBufferBytes.
const (
	readBufferBytes  = 8 << 10
	writeBufferBytes = 4 << 10
	eventBufferBytes = 16 << 10
)

// link is one connection to a backend server with its buffers. One call at a
// time uses it.
type link struct {
	address string
	conn    net.Conn
	silence time.Duration // longest wait of one read
	reader  *bufio.Reader
	writer  *bufio.Writer
	events  *bufio.Reader // over a stream's body; reset for each stream
	lastUse time.Time
}

// Read reads from the connection with a fresh deadline, so that the limit is
// on silence and not on the length of the answer.
func (l *link) Read(p []byte) (int, error) {
	err := l.conn.SetReadDeadline(time.Now().Add(l.silence))
	if err != nil {
		return 0, err
	}
	return l.conn.Read(p)
}

// close is safe while another goroutine reads: that read then fails.
func (l *link) close() {
	_ = l.conn.Close()
}

func closeAll(links []*link) {
	for _, l := range links {
		l.close()
	}
}

// send writes one request. There is no second try on another connection: a
// part of the first may have reached the server and run.
func (c *Client) send(l *link, req *fasthttp.Request) error {
	err := l.conn.SetWriteDeadline(time.Now().Add(c.cfg.WriteTimeout))
	if err != nil {
		return err
	}
	err = req.Write(l.writer)
	if err != nil {
		return err
	}
	return l.writer.Flush()
}

// exchange is one request and the head (or, without StreamBody, the whole) of
// its answer on one connection.
type exchange struct {
	link *link
	resp *fasthttp.Response
	stop func() bool // ends the watch over the context
}

// do sends req and reads the answer's head. A context that ends closes the
// connection at once, also later while a stream is read, until finish.
func (c *Client) do(ctx context.Context, op, address string, req *fasthttp.Request, stream bool) (*exchange, error) {
	l, err := c.acquire(ctx, address)
	if err != nil {
		return nil, &Error{Kind: backend.ErrNotRun, Op: op, Address: address, Cause: causeOf(ctx, err)}
	}
	x := &exchange{link: l, resp: fasthttp.AcquireResponse()}
	x.stop = context.AfterFunc(ctx, l.close)
	x.resp.StreamBody = stream
	x.resp.SkipBody = req.Header.IsHead()
	l.silence = c.cfg.HeaderTimeout
	err = c.send(l, req)
	if err == nil {
		err = x.resp.ReadLimitBody(l.reader, c.cfg.MaxResponseBytes)
	}
	if err == nil {
		return x, nil
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		err = ErrResponseTooLarge
	}
	c.finish(x, false)
	return nil, &Error{Kind: backend.ErrBroken, Op: op, Address: address, Cause: causeOf(ctx, err)}
}

// finish ends an exchange. reusable tells that the answer was read to its end.
func (c *Client) finish(x *exchange, reusable bool) {
	// stop reports false when the context's end has closed the connection, or is
	// just doing so; such a connection must not be handed to another call.
	stopped := x.stop()
	reusable = reusable && stopped && !x.resp.ConnectionClose()
	_ = x.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(x.resp)
	if !reusable {
		x.link.close()
		return
	}
	c.release(x.link)
}
