package tcpconn

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A peer that doesn't read advertises a zero window. TCP_USER_TIMEOUT counts data that wait for the window like data that
// nobody acknowledges, so a longer timeout applies while nothing else waits.

const (
	// minWatchedBytes is less than the window that a peer advertises at first, which has room for shorter requests.
	minWatchedBytes = 32 << 10
	// windowCheckInterval leaves time for three checks before a zero window counts as a lost peer.
	windowCheckInterval = 300 * time.Millisecond
	// zeroWindowTimeout closes a connection whose peer doesn't read. Requests end earlier.
	zeroWindowTimeout = time.Minute
)

// windowWatch observes the peer's window while the peer has not acknowledged all that was written.
type windowWatch struct {
	socket syscall.RawConn

	mu      sync.Mutex
	writes  int // under way
	written int // bytes since the peer had acknowledged all
	active  bool
	timeout time.Duration // TCP_USER_TIMEOUT of the socket
}

// beginWrite is called before n bytes are written, and endWrite after that.
func (w *windowWatch) beginWrite(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes++
	w.written += n
	if w.written >= minWatchedBytes && !w.active {
		w.active = true
		time.AfterFunc(windowCheckInterval, w.check)
	}
}

func (w *windowWatch) endWrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes--
}

// check sets the timeout that applies now. It calls itself again until the peer has acknowledged all.
func (w *windowWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	unacknowledged, unsent, err := sendQueue(w.socket)
	if err == nil {
		err = w.setTimeout(timeoutFor(unacknowledged, unsent))
	}
	if err != nil || unacknowledged == 0 && w.writes == 0 { // an error: the connection is closed
		w.active, w.written = false, 0
		return
	}
	time.AfterFunc(windowCheckInterval, w.check)
}

// setTimeout sets the socket's TCP_USER_TIMEOUT. w.mu must be held.
func (w *windowWatch) setTimeout(timeout time.Duration) error {
	if w.timeout == timeout {
		return nil
	}
	w.timeout = timeout
	return setUserTimeout(w.socket, timeout)
}

// timeoutFor returns the timeout for a socket whose peer has not acknowledged this many bytes, of which unsent wait to be
// sent. If none is under way, the peer has acknowledged all that its window lets through.
func timeoutFor(unacknowledged, unsent int) time.Duration {
	if unacknowledged > 0 && unacknowledged == unsent {
		return zeroWindowTimeout
	}
	return unackedDataTimeout
}

// sendQueue returns how many bytes of a socket the peer has not acknowledged, and how many of them are not sent.
func sendQueue(socket syscall.RawConn) (unacknowledged, unsent int, err error) {
	var queueErr error
	err = socket.Control(func(fd uintptr) {
		if unsent, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD); queueErr == nil {
			unacknowledged, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		}
	})
	if err == nil {
		err = queueErr
	}
	return unacknowledged, unsent, err
}
