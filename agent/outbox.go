package agent

import (
	"context"
	"sync"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// eventOverhead is the size that an event counts for besides its text, in bytes.
const eventOverhead = 64

// joinLimit bounds the text of joined deltas, in bytes, because each join copies it.
const joinLimit = 1 << 10

// outbox holds the events of one attempt that its reader has not taken. It
// separates the upstream's pace from the reader's.
type outbox struct {
	limit int // bytes

	mu     sync.Mutex
	events []*rpc.RunEvent
	size   int
	closed bool
	ready  chan struct{} // has a value when events or closed changed
	room   chan struct{} // has a value when events were taken
}

func newOutbox(limit int) *outbox {
	return &outbox{limit: limit, ready: make(chan struct{}, 1), room: make(chan struct{}, 1)}
}

// put appends an event and reports whether it fit. Text of a delta joins an
// unread delta before it.
func (o *outbox) put(e *rpc.RunEvent, bytes int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || o.size > 0 && o.size+bytes > o.limit {
		return false
	}
	o.size += bytes
	if !o.join(e) {
		o.size += eventOverhead
		o.events = append(o.events, e)
	}
	signal(o.ready)
	return true
}

// putWait is put that waits for room until ctx ends.
func (o *outbox) putWait(ctx context.Context, e *rpc.RunEvent, bytes int) bool {
	for !o.put(e, bytes) {
		select {
		case <-o.room:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// close appends the last event regardless of the limit and ends the box.
func (o *outbox) close(last *rpc.RunEvent) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	o.closed = true
	o.events = append(o.events, last)
	signal(o.ready)
}

// take removes all events. done is set after the last one.
func (o *outbox) take() (events []*rpc.RunEvent, done bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	events, o.events = o.events, nil
	o.size = 0
	signal(o.room)
	return events, o.closed
}

func (o *outbox) join(e *rpc.RunEvent) bool {
	d := e.GetDelta()
	if d == nil || len(o.events) == 0 {
		return false
	}
	before := o.events[len(o.events)-1].GetDelta()
	if before == nil || len(before.Text) > joinLimit {
		return false
	}
	before.Text += d.Text
	before.Tokens += d.Tokens
	return true
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
