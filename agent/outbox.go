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
func (o *eventBuffer) put(e *rpc.RunEvent, bytes int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || o.size > 0 && o.size+bytes > o.limit {
		return false
	}
	o.size += bytes
	if !o.merge(e) {
		o.size += eventOverheadBytes
		o.events = append(o.events, e)
	}
	signal(o.ready)
	return true
}

// putWait is like put, but waits for space until ctx is done.
func (o *eventBuffer) putWait(ctx context.Context, e *rpc.RunEvent, bytes int) bool {
	for !o.put(e, bytes) {
		select {
		case <-o.space:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// close appends the last event regardless of the limit and closes the buffer.
func (o *eventBuffer) close(last *rpc.RunEvent) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	o.closed = true
	o.events = append(o.events, last)
	signal(o.ready)
}

// take removes and returns all events. done reports whether the last event is
// among them or was taken before.
func (o *eventBuffer) take() (events []*rpc.RunEvent, done bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	events, o.events = o.events, nil
	o.size = 0
	signal(o.space)
	return events, o.closed
}

func (o *eventBuffer) merge(e *rpc.RunEvent) bool {
	d := e.GetDelta()
	if d == nil || len(o.events) == 0 {
		return false
	}
	previous := o.events[len(o.events)-1].GetDelta()
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
