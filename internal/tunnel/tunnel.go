// Package tunnel connects a router to a backend server through another router, the carrier. A router
// whose own path to the servers is cut can so serve its callers. The carrier passes bytes on and
// knows nothing of requests: admission, tokens, retries and deadlines stay with the router that got
// the request.
package tunnel

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Prefix begins a connection that asks for a tunnel, on the port that routers call each other at.
const Prefix = "chicory-tunnel/1 "

// Target names the process of a backend server. Each router looks the address up by itself, so a
// carrier connects only to servers that it knows.
type Target struct {
	ID             string
	StartUnixMilli int64
}

// maxTargetLine bounds the line that names the target.
const maxTargetLine = 1024

func (t Target) encode() string {
	return fmt.Sprintf("%s%d %s\n", Prefix, t.StartUnixMilli, url.QueryEscape(t.ID))
}

func readTarget(r *bufio.Reader) (Target, error) {
	line, err := readLine(r)
	if err != nil {
		return Target{}, errors.Wrap(err, "read target of tunnel")
	}
	rest, found := strings.CutPrefix(line, Prefix)
	start, escaped, split := strings.Cut(rest, " ")
	if !found || !split {
		return Target{}, errors.New("malformed target of tunnel")
	}
	startUnixMilli, err := strconv.ParseInt(start, 10, 64)
	if err != nil {
		return Target{}, errors.Wrap(err, "target of tunnel: start")
	}
	id, err := url.QueryUnescape(escaped)
	return Target{ID: id, StartUnixMilli: startUnixMilli}, errors.Wrap(err, "target of tunnel: server")
}

// readLine reads a line of at most maxTargetLine bytes and returns it without its end.
func readLine(r *bufio.Reader) (string, error) {
	var line []byte
	for len(line) < maxTargetLine {
		b, err := r.ReadByte()
		if err != nil {
			return "", err
		}
		if b == '\n' {
			return string(line), nil
		}
		line = append(line, b)
	}
	return "", errors.New("line too long")
}

// status is the carrier's answer to a request for a tunnel.
type status byte

const (
	statusOpen status = iota + 1
	statusUnreachable
	statusUnknown
	statusBusy
)

// Reasons why a carrier opens no tunnel.
var (
	// ErrUnreachable: the carrier could not connect to the server.
	ErrUnreachable = errors.New("tunnel: carrier does not reach the server")
	// ErrUnknown: the carrier knows no such server.
	ErrUnknown = errors.New("tunnel: server unknown to the carrier")
	// ErrBusy: the carrier is stopping or has too many tunnels.
	ErrBusy = errors.New("tunnel: carrier takes no more tunnels")
)

func statusOf(err error) status {
	switch {
	case err == nil:
		return statusOpen
	case errors.Is(err, ErrUnknown):
		return statusUnknown
	case errors.Is(err, ErrBusy):
		return statusBusy
	}
	return statusUnreachable
}

func (s status) err() error {
	switch s {
	case statusOpen:
		return nil
	case statusUnreachable:
		return ErrUnreachable
	case statusUnknown:
		return ErrUnknown
	case statusBusy:
		return ErrBusy
	}
	return errors.Errorf("tunnel: invalid status %d", s)
}

var (
	// ErrCarrierLost: the connection to the carrier ended before the server's own. It says nothing
	// of the server.
	ErrCarrierLost = errors.New("tunnel: carrier lost")
	// ErrServerReset: the server's connection to the carrier failed.
	ErrServerReset = errors.New("tunnel: server reset the connection")
)

// The carrier sends the server's bytes in frames: a length of two bytes, then as many bytes. Without
// frames, a carrier that dies would look like a server that closes its connection in order, and an
// answer that ends with the connection would seem complete.
const (
	frameHeaderSize = 2
	maxFrame        = 4096
	frameEnd        = 0      // the server closed its connection in order
	frameReset      = 0xffff // the server's connection failed
)

// Conn is a connection to a server through a carrier.
type Conn struct {
	net.Conn
	reader    *bufio.Reader
	remaining int   // bytes of the present frame that are not read yet
	ended     error // what Read returns from now on, if not nil
}

func newConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn, reader: bufio.NewReaderSize(conn, maxFrame+frameHeaderSize)}
}

// Read reads what the server sent. It returns io.EOF only if the server closed its connection.
func (c *Conn) Read(p []byte) (int, error) {
	if c.ended != nil {
		return 0, c.ended
	}
	if c.remaining == 0 {
		c.readHeader()
	}
	if c.ended != nil {
		return 0, c.ended
	}
	n, err := c.reader.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	if err != nil {
		c.ended = carrierError(err)
	}
	return n, c.ended
}

// readHeader reads the header of the next frame.
func (c *Conn) readHeader() {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		c.ended = carrierError(err)
		return
	}
	switch length := int(binary.BigEndian.Uint16(header[:])); length {
	case frameEnd:
		c.ended = io.EOF
	case frameReset:
		c.ended = ErrServerReset
	default:
		c.remaining = length
	}
}

// carrierError returns the error of a connection that ended within or before a frame. One that this
// router closed is not the carrier's fault.
func carrierError(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return err
	}
	return errors.Wrap(ErrCarrierLost, err.Error())
}
