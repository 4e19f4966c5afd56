package etcdgw

import (
	"bufio"
	"context"
	"io"
	"net"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/platform/etcdgw/wire"
)

// maxErrorBytes limits the body that is read of a refused watch.
const maxErrorBytes = 64 << 10

// errClosed is the cause of errors after Close.
var errClosed = errors.New("client is closed")

// watch is one open watch stream on a connection of its own.
type watch struct {
	key    string
	conn   net.Conn
	resp   *fasthttp.Response
	lines  *bufio.Scanner
	values chan platform.Value // holds the latest value that was not read yet
}

// Watch implements platform.KV. A slow reader sees the latest value only. A
// deletion is sent as a Value with Revision zero.
//
// It reads the key first and watches from the store's revision at that read.
// A watch from after+1 would fail for ever once the service has compacted its
// history past that revision, which happens to each key that changes seldom.
// So to open a watch costs the service one read more.
func (c *Client) Watch(
	ctx context.Context, key string, after platform.Revision,
) (<-chan platform.Value, error) {
	current, store, err := c.read(ctx, key)
	if err != nil {
		return nil, err
	}
	w, err := c.openWatch(ctx, key, store+1)
	if err != nil {
		return nil, err
	}
	if current.Revision > after || (current.Revision == 0 && after > 0) {
		w.offer(current)
	}
	if err := c.start(ctx, w); err != nil {
		w.close()
		return nil, err
	}
	return w.values, nil
}

// openWatch sends the request and waits, no longer than for a call, until the
// service says that the watch exists.
func (c *Client) openWatch(ctx context.Context, key string, from platform.Revision) (*watch, error) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline(ctx))
	defer cancel()
	conn, err := dial(c.host, c.config.Timeout)
	if err != nil {
		return nil, watchError(platform.ErrUnavailable, err)
	}
	w := &watch{
		key:    key,
		conn:   conn,
		resp:   fasthttp.AcquireResponse(),
		values: make(chan platform.Value, 1),
	}
	defer w.closeOnEnd(ctx)()
	if err := c.request(w, from); err != nil {
		w.close()
		return nil, err
	}
	if err := w.awaitCreated(); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

// request posts the watch request and takes the answer's header.
func (c *Client) request(w *watch, from platform.Revision) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	create := wire.WatchCreateRequest{
		Key:            []byte(w.key),
		StartRevision:  int64(from),
		ProgressNotify: true,
	}
	if err := c.fill(req, wire.PathWatch, wire.WatchRequest{Create: create}); err != nil {
		return err
	}
	client := c.newHostClient()
	client.StreamResponseBody = true
	client.Dial = func(string) (net.Conn, error) { return w.conn, nil }
	req.SetConnectionClose()
	if err := client.Do(req, w.resp); err != nil {
		return watchError(platform.ErrUnavailable, err)
	}
	if status := w.resp.StatusCode(); status != fasthttp.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(w.resp.BodyStream(), maxErrorBytes))
		return statusError(reads, wire.PathWatch, status, body)
	}
	w.lines = bufio.NewScanner(w.resp.BodyStream())
	w.lines.Buffer(nil, maxResponseBytes)
	return nil
}

func (w *watch) awaitCreated() error {
	for {
		update, err := w.next()
		if err != nil {
			return watchError(platform.ErrUnavailable, err)
		}
		if update.changed {
			w.offer(update.value)
		}
		if update.created {
			return nil
		}
	}
}

// start runs the watch until its context ends, the client is closed, the watch
// reaches its greatest age or the stream breaks.
func (c *Client) start(ctx context.Context, w *watch) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing.Err() != nil {
		return watchError(platform.ErrUnavailable, errClosed)
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.WatchMaxAge)
	untie := context.AfterFunc(c.closing, cancel)
	c.watches.Go(func() {
		defer cancel()
		defer untie()
		w.run(ctx)
	})
	return nil
}

func (w *watch) run(ctx context.Context) {
	defer close(w.values)
	defer w.close()
	defer w.closeOnEnd(ctx)()
	for {
		update, err := w.next()
		if err != nil {
			return
		}
		if update.changed {
			w.offer(update.value)
		}
	}
}

// closeOnEnd closes the connection when ctx ends, which is what ends a read
// that waits. The function that it returns takes that back.
func (w *watch) closeOnEnd(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() { _ = w.conn.Close() })
}

// next reads one line of the stream.
func (w *watch) next() (watchUpdate, error) {
	if !w.lines.Scan() {
		if err := w.lines.Err(); err != nil {
			return watchUpdate{}, err
		}
		return watchUpdate{}, io.EOF
	}
	return decodeWatch(w.key, w.lines.Bytes())
}

// offer sends v in place of a value that was not read yet. Only one goroutine
// at a time sends, so that there is room for v after the old value is out.
func (w *watch) offer(v platform.Value) {
	select {
	case <-w.values:
	default:
	}
	w.values <- v
}

// close ends the connection. It is closed first, because fasthttp would else
// read the rest of the stream.
func (w *watch) close() {
	_ = w.conn.Close()
	_ = w.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(w.resp)
}

// watchError keeps the kind of an error that has one and else uses kind.
func watchError(kind, cause error) error {
	if errors.Is(cause, platform.ErrRateLimited) {
		kind = platform.ErrRateLimited
	}
	return &CallError{Path: wire.PathWatch, Kind: kind, Cause: cause}
}
