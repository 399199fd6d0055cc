package intake

import (
	"cmp"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// responsePercent is the part of a process's memory for what callers have not taken of
	// their responses, and unsentPercent for the same in the buffers of the kernel.
	responsePercent = 6
	unsentPercent   = 10
	// responseBytes is the most that is kept of one response.
	responseBytes = 256 << 10
	// minUnsent and maxUnsent bound the unsent bytes of a connection in the kernel. Usual
	// answers have less than minUnsent.
	minUnsent = 32 << 10
	maxUnsent = 256 << 10
	// defaultResponses is the memory for responses of a process without a memory limit.
	defaultResponses = 64 << 20
	// freeResponseBytes is what each response may keep without a share of the memory.
	freeResponseBytes = 4 << 10
	blockBytes        = 16 << 10
	// progressInterval is how often a connection that takes nothing is looked at.
	progressInterval = 250 * time.Millisecond
	// keptStallFactor is how many times the stall timeout a caller may take nothing while
	// nothing waits for it, because all that is left of the response fits in memory.
	keptStallFactor = 5
)

// DefaultStallTimeout is how long a caller may take nothing of its response, of which more
// is waiting than fits in memory, while its upstream waits. A receiver's kernel opens a full
// window again in large steps: on loopback, a caller that reads 16 KB/s acknowledges nothing
// for up to 8 s.
const DefaultStallTimeout = 10 * time.Second

// ErrNotReading is the error of a write to a caller that was disconnected because it took
// nothing of its response.
var ErrNotReading = errors.New("the caller does not read its response")

// ResponseLimits limit what is kept of the responses that callers have not taken.
type ResponseLimits struct {
	Bytes  int64 // of all responses
	Unsent int   // bytes of each connection that the kernel keeps unsent; 0 for its default
	// StallTimeout is how long a caller may take nothing while its upstream waits.
	StallTimeout time.Duration
}

// NewResponseLimits returns the limits of a process that may use memoryMB, 0 for no limit,
// and that has up to a number of connections. A stallTimeout of 0 is the default.
func NewResponseLimits(memoryMB, connections int, stallTimeout time.Duration) ResponseLimits {
	l := ResponseLimits{Bytes: defaultResponses, StallTimeout: cmp.Or(stallTimeout, DefaultStallTimeout)}
	if memoryMB > 0 {
		memory := int64(memoryMB) << 20
		l.Bytes = memory * responsePercent / 100
		l.Unsent = int(min(max(memory*unsentPercent/100/int64(max(connections, 1)), minUnsent), maxUnsent))
	}
	return l
}

// responses are the responses of one server.
type responses struct {
	limits ResponseLimits
	left   atomic.Int64 // bytes
}

func newResponses(limits ResponseLimits) *responses {
	r := &responses{limits: limits}
	r.left.Store(limits.Bytes)
	return r
}

// take takes a block from the memory for responses. It reports whether there was one.
func (r *responses) take() bool {
	if r.left.Add(-blockBytes) < 0 {
		r.left.Add(blockBytes)
		return false
	}
	return true
}

// outbox writes to a connection. What the kernel does not take at once is kept, up to a
// limit, and written by a goroutine that runs only meanwhile, so that an upstream is not
// left unread while its caller pauses. A caller that takes nothing is disconnected.
type outbox struct {
	responses  *responses
	conn       net.Conn
	raw        syscall.RawConn // nil if the connection has none; writes wait then
	disconnect func()

	// part, written and partErr are the argument and the results of writePart, which is
	// allocated once for a connection. Only the goroutine that writes uses them.
	writePart func(fd uintptr) bool
	part      []byte
	written   int
	partErr   error

	busy atomic.Bool // the goroutine runs or has failed

	mu       sync.Mutex
	changed  sync.Cond
	blocks   [][]byte
	sent     int   // bytes of the first block
	kept     int   // bytes in all blocks
	shares   int   // blocks that count
	waiting  bool  // a write waits for room
	deferred bool  // writes may return before the kernel has taken everything
	err      error // of the connection
}

func (o *outbox) init(r *responses, conn net.Conn, disconnect func()) {
	o.responses, o.conn, o.disconnect = r, conn, disconnect
	o.changed.L = &o.mu
	source, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return // the connection is closed
	}
	o.raw = raw
	o.writePart = func(fd uintptr) bool {
		o.written, o.partErr = writeOnce(int(fd), o.part)
		return true
	}
	if r.limits.Unsent > 0 {
		limitUnsent(raw, r.limits.Unsent)
	}
}

func writeOnce(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Write(fd, p)
		switch {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return 0, nil
		case err != nil:
			return 0, os.NewSyscallError("write", err)
		default:
			return n, nil
		}
	}
}

// write implements net.Conn.Write. It must not be called concurrently.
func (o *outbox) write(p []byte) (int, error) {
	if o.raw == nil {
		return o.conn.Write(p)
	}
	if o.busy.Load() {
		return o.keep(p, 0)
	}
	o.part = p
	err := o.raw.Write(o.writePart)
	o.part = nil
	if err != nil {
		return 0, err
	}
	if o.partErr != nil || o.written == len(p) {
		return o.written, o.partErr
	}
	return o.keep(p, o.written)
}

// keep keeps what follows the first done bytes of p and waits for room if need be.
func (o *outbox) keep(p []byte, done int) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.err == nil {
		done += o.add(p[done:])
		if o.kept > 0 && !o.busy.Load() {
			o.busy.Store(true)
			go o.flush()
		}
		if done == len(p) && (o.deferred || o.kept == 0) {
			return done, nil
		}
		o.waiting = done < len(p) // else all that is left fits
		o.changed.Wait()
		o.waiting = false
	}
	return done, o.err
}

// add copies as much of p as there is room for.
func (o *outbox) add(p []byte) (added int) {
	for len(p) > 0 {
		last := len(o.blocks) - 1
		if last < 0 || len(o.blocks[last]) == cap(o.blocks[last]) {
			block := o.newBlock()
			if block == nil {
				break
			}
			o.blocks = append(o.blocks, block)
			last++
		}
		b := o.blocks[last]
		n := copy(b[len(b):cap(b)], p)
		o.blocks[last] = b[:len(b)+n]
		p = p[n:]
		added += n
	}
	o.kept += added
	return added
}

// newBlock returns an empty block, or nil if the response has no more room.
func (o *outbox) newBlock() []byte {
	if len(o.blocks) == o.shares { // none of them is the free one
		return make([]byte, 0, freeResponseBytes)
	}
	if (o.shares+1)*blockBytes > responseBytes || !o.responses.take() {
		return nil
	}
	o.shares++
	return make([]byte, 0, blockBytes)
}

// dropBlock gives up the first block.
func (o *outbox) dropBlock() {
	if cap(o.blocks[0]) == blockBytes {
		o.shares--
		o.responses.left.Add(blockBytes)
	}
	o.blocks[0] = nil
	o.blocks, o.sent = o.blocks[1:], 0
}

// flush writes what is kept until nothing is left.
func (o *outbox) flush() {
	stall := stallTimer{}
	for {
		o.mu.Lock()
		for len(o.blocks) > 0 && o.sent == len(o.blocks[0]) {
			o.dropBlock()
		}
		if len(o.blocks) == 0 {
			o.blocks = nil
			_ = o.conn.SetWriteDeadline(time.Time{}) // fails only on a closed connection
			o.busy.Store(false)
			o.changed.Broadcast()
			o.mu.Unlock()
			return
		}
		part := o.blocks[0][o.sent:]
		o.mu.Unlock()

		_ = o.conn.SetWriteDeadline(time.Now().Add(progressInterval)) // as above
		n, err := o.conn.Write(part)
		if n > 0 {
			stall = stallTimer{}
		}
		timeout := errors.Is(err, os.ErrDeadlineExceeded)

		o.mu.Lock()
		o.sent += n
		o.kept -= n
		if n > 0 {
			o.changed.Broadcast()
		}
		waiting := o.waiting
		o.mu.Unlock()
		if timeout && n == 0 {
			queue, known := unacknowledged(o.raw)
			// Where slow callers cannot be told from those that take nothing, all have longer.
			if stall.expired(queue, waiting && known, o.responses.limits.StallTimeout) {
				err, timeout = ErrNotReading, false
			}
		}
		if err != nil && !timeout {
			o.fail(err)
			return
		}
	}
}

// fail ends all writes. The connection is closed at once, since what is left of a response
// in the kernel would be kept for minutes.
func (o *outbox) fail(err error) {
	o.mu.Lock()
	o.err = err
	for len(o.blocks) > 0 {
		o.dropBlock()
	}
	o.kept = 0
	o.changed.Broadcast()
	o.mu.Unlock()
	if err == ErrNotReading {
		o.disconnect()
	}
}

// begin and end enclose the handling of a request. Writes after it, and end itself, return
// when the kernel has taken everything, since the server may then close the connection.
func (o *outbox) begin() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deferred = true
}

func (o *outbox) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deferred = false
	for o.err == nil && o.kept > 0 {
		o.changed.Wait()
	}
}

// stallTimer measures how long a connection has taken nothing. It counts intervals and not
// the time between them, in which the process may not have been scheduled.
type stallTimer struct {
	stalled time.Duration
	waited  time.Duration // the part of stalled in which a write waited
	queue   int           // bytes that the other side had not acknowledged
}

// expired records one interval without a write, at whose end queue bytes were not
// acknowledged, and reports whether a write has waited for limit meanwhile, or nothing was
// taken for keptStallFactor times that. The kernel accepts a write only when a good part of
// its buffer is free, so a caller that reads slowly is seen by the queue.
func (s *stallTimer) expired(queue int, waiting bool, limit time.Duration) bool {
	if queue < s.queue {
		s.stalled, s.waited = 0, 0
	} else {
		s.stalled += progressInterval
		if waiting {
			s.waited += progressInterval
		}
	}
	s.queue = queue
	return s.waited >= limit || s.stalled >= keptStallFactor*limit
}
