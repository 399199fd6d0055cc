package limit

import (
	"context"
	"sync"
	"time"
)

// ServiceLimiter is a Queue shared by the requests of one service on one entry.
type ServiceLimiter struct {
	mu      sync.Mutex
	queue   *Queue
	config  QueueConfig
	waiters map[Ticket]chan Reason // each has room for its one answer
}

// NewServiceLimiter returns a gate without requests.
func NewServiceLimiter(c QueueConfig) *ServiceLimiter {
	return &ServiceLimiter{queue: NewQueue(), config: c, waiters: make(map[Ticket]chan Reason)}
}

// Configure replaces the bounds and starts the requests that now fit.
func (g *ServiceLimiter) Configure(c QueueConfig, now time.Time) {
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
func (g *ServiceLimiter) Acquire(ctx context.Context, caller string, deadline, now time.Time) Reason {
	g.mu.Lock()
	o := g.queue.Admit(g.config, caller, deadline, now)
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
func (g *ServiceLimiter) abandon(caller string, t Ticket, answer chan Reason, r Reason) Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Remove(caller, t) {
		return <-answer
	}
	delete(g.waiters, t)
	return r
}

// Release ends a request that started at the time given.
func (g *ServiceLimiter) Release(started, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Finish(now.Sub(started))
	g.startNext(now)
}

func (g *ServiceLimiter) startNext(now time.Time) {
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
func (g *ServiceLimiter) answer(t Ticket, r Reason) {
	w, ok := g.waiters[t]
	if !ok {
		return
	}
	delete(g.waiters, t)
	w <- r
}

// InProgress returns the number of started requests.
func (g *ServiceLimiter) InProgress() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.InProgress()
}
