package entry

import (
	"context"
	"sync"
)

// drainState counts requests in progress and rejects new ones once draining has
// started.
type drainState struct {
	mu         sync.Mutex
	draining   bool
	inProgress int
	empty      chan struct{} // closed once the entry is draining and no request is in progress
}

func newDrainState() *drainState {
	return &drainState{empty: make(chan struct{})}
}

// begin counts a request, or returns false if the entry is draining.
func (d *drainState) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return false
	}
	d.inProgress++
	return true
}

func (d *drainState) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inProgress--
	if d.draining && d.inProgress == 0 {
		close(d.empty)
	}
}

func (d *drainState) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return
	}
	d.draining = true
	if d.inProgress == 0 {
		close(d.empty)
	}
}

func (d *drainState) active() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

// Drain makes the entry not ready, rejects new requests as not executed, and waits
// until those in progress have ended or ctx is done.
func (e *Entry) Drain(ctx context.Context) error {
	e.drain.start()
	select {
	case <-e.drain.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
