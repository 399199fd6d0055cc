//go:build !linux

package intake

import "syscall"

// limitUnsent leaves the limit of the system.
func limitUnsent(syscall.RawConn, int) {}

// unacknowledged returns false: the number is not known.
func unacknowledged(syscall.RawConn) (bytes int, known bool) { return 0, false }

// unread returns 0: the number is not known.
func unread(syscall.RawConn) int { return 0 }
