package agent

import (
	"context"
	"sync"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// eventOverheadBytes is the size that is charged for an event in addition to its
// payload.
const eventOverheadBytes = 64

// mergeLimitBytes limits the text of merged deltas, because each merge copies it.
const mergeLimitBytes = 1 << 10

// eventBuffer holds the events of one attempt that its reader has not taken yet.
// It decouples the upstream from the reader.
type eventBuffer struct {
	limit int // bytes

	mu     sync.Mutex
	events []*rpc.RunEvent
	size   int
	closed bool
	ready  chan struct{} // has a value when events or closed changed
	space  chan struct{} // has a value when events were taken
}

func newEventBuffer(limit int) *eventBuffer {
	return &eventBuffer{limit: limit, ready: make(chan struct{}, 1), space: make(chan struct{}, 1)}
}

// put appends an event and reports whether it fit. A delta is merged into a
// directly preceding unread delta.
func (b *eventBuffer) put(e *rpc.RunEvent, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.size > 0 && b.size+bytes > b.limit {
		return false
	}
	b.size += bytes
	if !b.merge(e) {
		b.size += eventOverheadBytes
		b.events = append(b.events, e)
	}
	signal(b.ready)
	return true
}

// putWait is like put, but waits for space until ctx is done.
func (b *eventBuffer) putWait(ctx context.Context, e *rpc.RunEvent, bytes int) bool {
	for !b.put(e, bytes) {
		select {
		case <-b.space:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// close appends the last event regardless of the limit and closes the buffer.
func (b *eventBuffer) close(last *rpc.RunEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	b.events = append(b.events, last)
	signal(b.ready)
}

// take removes and returns all events. done reports whether the last event is
// among them or was taken before.
func (b *eventBuffer) take() (events []*rpc.RunEvent, done bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	events, b.events = b.events, nil
	b.size = 0
	signal(b.space)
	return events, b.closed
}

func (b *eventBuffer) merge(e *rpc.RunEvent) bool {
	d := e.GetDelta()
	if d == nil || len(b.events) == 0 {
		return false
	}
	previous := b.events[len(b.events)-1].GetDelta()
	if previous == nil || len(previous.Text) > mergeLimitBytes {
		return false
	}
	previous.Text += d.Text
	previous.Tokens += d.Tokens
	return true
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
