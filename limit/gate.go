package limit

import (
	"context"
	"sync"
	"time"
)

// Gate is a Queue shared by the requests of one service on one entry.
type Gate struct {
	mu      sync.Mutex
	queue   *Queue
	config  QueueConfig
	waiters map[Ticket]chan Reason // each has room for its one answer
}

// NewGate returns a gate without requests.
func NewGate(c QueueConfig) *Gate {
	return &Gate{queue: NewQueue(), config: c, waiters: make(map[Ticket]chan Reason)}
}

// Configure replaces the bounds and starts the requests that now fit.
func (g *Gate) Configure(c QueueConfig, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.config == c {
		return
	}
	g.config = c
	g.startNext(now)
}

// Acquire waits until the request may start. When the reason is Allowed, the
// caller must call Release.
func (g *Gate) Acquire(ctx context.Context, caller string, deadline, now time.Time) Reason {
	g.mu.Lock()
	o := g.queue.Offer(g.config, caller, deadline, now)
	g.answer(o.Displaced, Displaced)
	if o.Start || o.Reason != Allowed {
		g.mu.Unlock()
		return o.Reason
	}
	answer := make(chan Reason, 1)
	g.waiters[o.Ticket] = answer
	g.mu.Unlock()

	timer := time.NewTimer(deadline.Sub(now))
	defer timer.Stop()
	select {
	case r := <-answer:
		return r
	case <-timer.C:
		return g.abandon(caller, o.Ticket, answer, QueueDeadline)
	case <-ctx.Done():
		return g.abandon(caller, o.Ticket, answer, Cancelled)
	}
}

// abandon leaves the queue, unless an answer has come meanwhile.
func (g *Gate) abandon(caller string, t Ticket, answer chan Reason, r Reason) Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Remove(caller, t) {
		return <-answer
	}
	delete(g.waiters, t)
	return r
}

// Release ends a request that started at the time given.
func (g *Gate) Release(started, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Finished(now.Sub(started))
	g.startNext(now)
}

func (g *Gate) startNext(now time.Time) {
	for {
		t, dropped, ok := g.queue.Next(g.config, now)
		for _, d := range dropped {
			g.answer(d, QueueDeadline)
		}
		if !ok {
			return
		}
		g.answer(t, Allowed)
	}
}

// answer resolves a waiting request; the zero ticket is none.
func (g *Gate) answer(t Ticket, r Reason) {
	w, ok := g.waiters[t]
	if !ok {
		return
	}
	delete(g.waiters, t)
	w <- r
}

// InProgress returns the number of started requests.
func (g *Gate) InProgress() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.InProgress()
}
