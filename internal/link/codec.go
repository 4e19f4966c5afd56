package link

import (
	"net/rpc"

	"github.com/pkg/errors"
)

// clientCodec is the rpc.ClientCodec of one authenticated connection.
type clientCodec struct {
	session session
	cfg     Config
	writer  *frameWriter
	body    []byte // of the answer whose header was read last
}

func newClientCodec(s session, cfg Config) *clientCodec {
	return &clientCodec{session: s, cfg: cfg, writer: newFrameWriter(s.conn, s.peer, cfg)}
}

// WriteRequest queues a call. Any error means that it was not sent.
func (c *clientCodec) WriteRequest(request *rpc.Request, body any) error {
	wire, err := encodeFrame(frame{Seq: request.Seq, Method: request.ServiceMethod}, body, c.cfg.MaxMessageBytes)
	if err != nil {
		return err
	}
	return c.writer.enqueue(wire)
}

// ReadResponseHeader reads the next answer. Its error is never io.EOF, which
// net/rpc would turn into the same ErrShutdown that it gives to calls not sent.
func (c *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	f, err := c.session.reader.nextFrame(c.cfg.MaxMessageBytes)
	if err != nil {
		c.writer.close()
		return errors.Wrapf(ErrBroken, "%s: %v", c.session.peer, err)
	}
	response.Seq = f.Seq
	response.ServiceMethod = f.Method
	response.Error = f.Error
	c.body = f.Body
	return nil
}

// ReadResponseBody decodes the answer; nil skips it.
func (c *clientCodec) ReadResponseBody(body any) error {
	if body == nil {
		return nil
	}
	if err := decodeBody(c.body, body, c.cfg.MaxMessageBytes); err != nil {
		return err
	}
	observe(c.cfg.Clock, body)
	return nil
}

// Close breaks the connection.
func (c *clientCodec) Close() error {
	c.writer.close()
	return nil
}

// serverCodec is the rpc.ServerCodec of one authenticated connection.
type serverCodec struct {
	session  session
	cfg      Config
	writer   *frameWriter
	inFlight chan struct{} // one element for each call that runs
	body     []byte        // of the call whose header was read last
}

func newServerCodec(s session, cfg Config) *serverCodec {
	return &serverCodec{
		session:  s,
		cfg:      cfg,
		writer:   newFrameWriter(s.conn, s.peer, cfg),
		inFlight: make(chan struct{}, cfg.MaxInFlight),
	}
}

// ReadRequestHeader reads the next call, once fewer than MaxInFlight are running.
func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	select {
	case c.inFlight <- struct{}{}:
	case <-c.writer.closed:
		return ErrClosed
	}
	f, err := c.session.reader.nextFrame(c.cfg.MaxMessageBytes)
	if err == nil && !c.cfg.Keys.accepts(c.session.key) {
		err = errors.Wrap(ErrAuth, "the key of the connection was withdrawn")
	}
	if err != nil {
		c.writer.close()
		return err
	}
	request.Seq = f.Seq
	request.ServiceMethod = f.Method
	c.body = f.Body
	return nil
}

// ReadRequestBody decodes the call's message; nil skips it.
func (c *serverCodec) ReadRequestBody(body any) error {
	if body == nil {
		return nil
	}
	if err := decodeBody(c.body, body, c.cfg.MaxMessageBytes); err != nil {
		return err
	}
	observe(c.cfg.Clock, body)
	return nil
}

// WriteResponse queues an answer. A peer that doesn't read its answers loses the
// connection, so that they can't pile up here.
func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	<-c.inFlight
	f := frame{Seq: response.Seq, Method: response.ServiceMethod, Error: response.Error}
	stamped := withEnvelope(body, Envelope{From: c.cfg.Self(), Clock: c.cfg.Clock.Tick(), Version: c.session.version})
	wire, err := encodeFrame(f, stamped, c.cfg.MaxMessageBytes)
	if err != nil {
		f.Error = Errorf(CodeAnswer, "%v", err).Error()
		wire, err = encodeFrame(f, struct{}{}, c.cfg.MaxMessageBytes)
	}
	if err == nil {
		err = c.writer.enqueue(wire)
	}
	if err != nil {
		c.writer.close()
	}
	return err
}

// Close breaks the connection.
func (c *serverCodec) Close() error {
	c.writer.close()
	return nil
}
