package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const maxQueuedFrames = 1024

// errNotSent: the frame was not queued, so the peer can't have got it.
var errNotSent = errors.New("link: message not sent")

// frameWriter writes the frames of one connection from a queue. Without it
// net/rpc would write under its lock, and a peer that stops reading would hold up
// every caller past its deadline. Here only the connection's own writer waits.
type frameWriter struct {
	conn   net.Conn
	cfg    Config
	peer   string
	queue  chan []byte
	queued atomic.Int64 // bytes

	closeOnce sync.Once
	closed    chan struct{}
}

func newFrameWriter(conn net.Conn, peer string, cfg Config) *frameWriter {
	return &frameWriter{
		conn:   conn,
		cfg:    cfg,
		peer:   peer,
		queue:  make(chan []byte, maxQueuedFrames),
		closed: make(chan struct{}),
	}
}

// enqueue takes a frame to be written, or returns errNotSent at once.
func (w *frameWriter) enqueue(wire []byte) error {
	if w.isClosed() {
		return errors.Wrap(errNotSent, "connection closed")
	}
	size := int64(len(wire))
	if w.queued.Add(size) > int64(w.cfg.MaxQueuedBytes) {
		w.queued.Add(-size)
		return errors.Wrap(errNotSent, "too many bytes queued")
	}
	select {
	case w.queue <- wire:
		return nil
	default:
		w.queued.Add(-size)
		return errors.Wrap(errNotSent, "too many messages queued")
	}
}

// run writes until the connection is closed or breaks.
func (w *frameWriter) run() {
	defer w.close()
	for {
		select {
		case <-w.closed:
			return
		case wire := <-w.queue:
			w.queued.Add(-int64(len(wire)))
			if err := w.write(wire); err != nil {
				return
			}
		}
	}
}

func (w *frameWriter) write(wire []byte) error {
	dropped, err := w.fault()
	if dropped || err != nil {
		return err
	}
	if err := w.conn.SetWriteDeadline(time.Now().Add(w.cfg.WriteTimeout)); err != nil {
		return errors.Wrap(err, "link: set deadline")
	}
	_, err = w.conn.Write(wire)
	return errors.Wrap(err, "link: write")
}

// fault applies what a test wants to happen to the next message.
func (w *frameWriter) fault() (dropped bool, err error) {
	if w.cfg.Fault == nil {
		return false, nil
	}
	action := w.cfg.Fault(w.cfg.Address, w.peer)
	if action.Cut {
		return false, errors.Wrap(ErrBroken, "fault")
	}
	if action.Delay > 0 {
		timer := time.NewTimer(action.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-w.closed:
		}
	}
	return action.Drop, nil
}

func (w *frameWriter) isClosed() bool {
	select {
	case <-w.closed:
		return true
	default:
		return false
	}
}

func (w *frameWriter) close() {
	w.closeOnce.Do(func() {
		close(w.closed)
		_ = w.conn.Close() // nothing is left to be done about a connection that is given up
	})
}
