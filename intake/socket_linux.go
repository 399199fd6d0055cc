package intake

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// limitUnsent limits the bytes that the kernel accepts for a connection before it sends
// them. What is sent and not acknowledged is limited by the other side's window.
func limitUnsent(raw syscall.RawConn, bytes int) {
	// An error leaves the default of the system.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
	})
}

// unacknowledged returns the bytes of a connection in the kernel that the other side has
// not acknowledged, and whether that is known.
func unacknowledged(raw syscall.RawConn) (bytes int, known bool) {
	// An error means that the connection is closed, which the next write finds.
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			bytes, known = n, true
		}
	})
	return bytes, known
}

// unread returns the bytes of a connection in the kernel that have not been read, as far as
// that is known.
func unread(raw syscall.RawConn) (bytes int) {
	// An error means that the connection is closed.
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			bytes = n
		}
	})
	return bytes
}
