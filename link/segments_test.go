package link

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
	"unsafe"
)

// segmentHeaderBytes is the size of the IPv4 and TCP headers of a segment,
// with the timestamps option.
const segmentHeaderBytes = 20 + 20 + 12

// clockTick is the unit of CPU times in /proc.
const clockTick = 10 * time.Millisecond

// segmentCounter counts the TCP segments of the connections that it dialled,
// including pure acknowledgements, which do not show in the payload's byte
// count.
type segmentCounter struct {
	mu    sync.Mutex
	conns []*net.TCPConn
}

func (s *segmentCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := defaultDialer()(ctx, network, address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, conn.(*net.TCPConn))
	return conn, nil
}

// total returns the number of segments in both directions of all connections.
func (s *segmentCounter) total(tb testing.TB) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum int64
	for _, c := range s.conns {
		raw, err := c.SyscallConn()
		if err != nil {
			tb.Fatal(err)
		}
		if err := raw.Control(func(fd uintptr) { sum += segmentsOf(tb, fd) }); err != nil {
			tb.Fatal(err)
		}
	}
	return sum
}

// segmentsOf reads tcpi_segs_out and tcpi_segs_in of struct tcp_info.
func segmentsOf(tb testing.TB, fd uintptr) int64 {
	const outAt, inAt = 136 / 4, 140 / 4
	var info [64]uint32
	size := uint32(unsafe.Sizeof(info))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 || size <= 4*inAt {
		tb.Fatalf("TCP_INFO of %d bytes: %v", size, errno)
	}
	return int64(info[outAt]) + int64(info[inAt])
}

// processCPUTime returns the CPU time of another process.
func processCPUTime(tb testing.TB, pid int) time.Duration {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		tb.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest) // starting at the third field, the state
	var user, system int64
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(user+system) * clockTick
}
