package limit

import (
	"context"
	"sync"
	"time"
)

// ServiceLimiter limits the concurrency of one service on one entry. It is a Queue
// with a lock, whose requests block until they may start.
type ServiceLimiter struct {
	mu      sync.Mutex
	queue   *Queue
	config  QueueConfig
	waiters map[Ticket]chan Reason // buffered for the single result
}

// NewServiceLimiter returns a limiter without requests.
func NewServiceLimiter(c QueueConfig) *ServiceLimiter {
	return &ServiceLimiter{queue: NewQueue(), config: c, waiters: make(map[Ticket]chan Reason)}
}

// Configure replaces the limits and starts the queued requests that they now allow.
func (g *ServiceLimiter) Configure(c QueueConfig, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.config == c {
		return
	}
	g.config = c
	g.startNext(now)
}

// Acquire blocks until the request may start or is refused. If it returns Allowed,
// Release must be called when the request has ended.
func (g *ServiceLimiter) Acquire(ctx context.Context, caller string, deadline, now time.Time) Reason {
	g.mu.Lock()
	o := g.queue.Admit(g.config, caller, deadline, now)
	g.resolve(o.Displaced, Displaced)
	if o.Start || o.Reason != Allowed {
		g.mu.Unlock()
		return o.Reason
	}
	result := make(chan Reason, 1)
	g.waiters[o.Ticket] = result
	g.mu.Unlock()

	timer := time.NewTimer(deadline.Sub(now))
	defer timer.Stop()
	select {
	case r := <-result:
		return r
	case <-timer.C:
		return g.leaveQueue(caller, o.Ticket, result, QueueDeadline)
	case <-ctx.Done():
		return g.leaveQueue(caller, o.Ticket, result, Cancelled)
	}
}

// leaveQueue removes a waiting request and returns r, or the request's result if it
// was resolved in the meantime.
func (g *ServiceLimiter) leaveQueue(caller string, t Ticket, result chan Reason, r Reason) Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Remove(caller, t) {
		return <-result
	}
	delete(g.waiters, t)
	return r
}

// Release ends a request that started at the given time.
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
			g.resolve(d, QueueDeadline)
		}
		if !ok {
			return
		}
		g.resolve(t, Allowed)
	}
}

// resolve sends a waiting request its result: Allowed or the reason for refusal. A
// ticket without a waiter is ignored; a zero ticket means that an admission has
// displaced no request.
func (g *ServiceLimiter) resolve(t Ticket, r Reason) {
	w, ok := g.waiters[t]
	if !ok {
		return
	}
	delete(g.waiters, t)
	w <- r
}

// InProgress returns the number of requests that have started and not been released.
func (g *ServiceLimiter) InProgress() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.InProgress()
}
