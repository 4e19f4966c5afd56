//go:build unix

package httpbackend

import (
	"net"
	"syscall"
)

// isOpen looks, without waiting, whether the peer has closed conn. An unused
// HTTP connection has nothing to read; anything but "would block" rules it out.
func isOpen(conn net.Conn) bool {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	var readErr error
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, readErr = syscall.Read(int(fd), buffer[:])
		return true
	})
	return err == nil && readErr == syscall.EAGAIN
}
