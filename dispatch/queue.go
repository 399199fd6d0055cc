package dispatch

import (
	"context"
	"slices"

	"time"

	"github.com/magnoliausher/magnoliausher/placement"
)

const (
	// queuePollInterval is the interval at which the queue checks for upstreams whose
	// backoff has ended.
	queuePollInterval = 25 * time.Millisecond
	// initialServiceTime is the assumed service time until one has been measured.
	initialServiceTime = 500 * time.Millisecond
	// serviceTimeWeight is n for a weight of 1/n of a new sample in the moving average
	// of the service time.
	serviceTimeWeight = 16
	// firstByteDivisor is n for the estimate that an answer starts after 1/n of the
	// service time, until the time to the first byte has been measured.
	firstByteDivisor = 4
	// firstByteMarginPercent is the percentage of the mean time to the first byte that
	// a request must get its slot before its objective. It covers the slower half of
	// the answers.
	firstByteMarginPercent = 150
	// retryJitter prevents callers that were rejected together from retrying together.
	retryJitter = 200 * time.Millisecond
)

// Request describes an online request that needs an upstream.
type Request struct {
	Service   string
	Priority  int // lower values are served first
	Arrived   time.Time
	Objective time.Time // the answer should start by then
	Deadline  time.Time
	// Repeatable: may be sent again although an earlier attempt may have run.
	Repeatable bool
	Avoid      map[string]bool // ids of upstreams to use only as a last resort
	// Wait is set by Acquire if the request has to wait for a slot.
	Wait *Wait
}

// Wait describes what a gateway knew when a request had to wait, for its log line.
type Wait struct {
	Ahead     int           // requests that waited at this gateway already
	FreeSlots int           // slots of the service believed free, at all upstreams in use
	ReportAge time.Duration // age of the oldest report that counts, of a gateway or a data centre
}

type queue struct {
	waiters     []*waiter
	serviceTime time.Duration // moving average of served online requests
	firstByte   time.Duration // moving average of the time from their grants to the first byte; 0 if unknown
	arrivals    arrivals
	startQuota  int       // waiting requests that may start until the quota is computed again
	quotaTime   time.Time // when the quota was last computed
}

type waiter struct {
	placement.Waiter
	request *Request
	granted chan *Grant
}

func (d *Dispatcher) queue(service string) *queue {
	q := d.queues[service]
	if q == nil {
		q = &queue{serviceTime: initialServiceTime}
		d.queues[service] = q
	}
	return q
}

// Acquire returns a grant for an online request. It waits for a free slot if needed
// and fails early if the estimated wait exceeds the deadline.
func (d *Dispatcher) Acquire(ctx context.Context, r *Request) (*Grant, error) {
	d.mu.Lock()
	now := time.Now()
	if len(d.cfg.Holder.View().Usable(r.Service)) == 0 {
		d.mu.Unlock()
		return nil, ErrNoUpstream
	}
	q := d.queue(r.Service)
	q.arrivals.record(now)
	if len(q.waiters) == 0 && d.mayStart(q, r.Service, now) {
		if g := d.placeOnline(r, now); g != nil {
			q.startQuota--
			urgent := d.exceedsSlots(g.Upstream)
			d.mu.Unlock()
			d.notifyChange(urgent)
			return g, nil
		}
	}
	latest := r.Deadline.Add(-q.serviceTime)
	if now.Add(d.estimateWait(q, r.Service)).After(latest) {
		d.mu.Unlock()
		return nil, ErrNoCapacity
	}
	w := &waiter{
		Waiter: placement.Waiter{Priority: r.Priority, Arrived: r.Arrived,
			Objective: r.Objective.Add(-q.firstByteMargin())},
		request: r,
		granted: make(chan *Grant, 1),
	}
	r.Wait = &Wait{Ahead: len(q.waiters), ReportAge: d.oldestReport(now),
		FreeSlots: placement.FreeSlots(d.snapshot(d.cfg.Holder.View().Usable(r.Service), r.Repeatable, now))}
	q.waiters = append(q.waiters, w)
	d.mu.Unlock()
	d.notifyChange(false)
	return d.waitForGrant(ctx, w, latest)
}

// recordServed updates the averages with a served online request.
func (q *queue) recordServed(service, firstByte time.Duration) {
	q.serviceTime += (service - q.serviceTime) / serviceTimeWeight
	switch {
	case firstByte <= 0:
	case q.firstByte == 0:
		q.firstByte = firstByte
	default:
		q.firstByte += (firstByte - q.firstByte) / serviceTimeWeight
	}
}

// firstByteMargin returns how long before its objective a request must get its slot.
// Too large a margin puts requests that could still be in time behind newer ones, so
// that in a peak all are late.
func (q *queue) firstByteMargin() time.Duration {
	if q.firstByte == 0 {
		return q.serviceTime / firstByteDivisor
	}
	return q.firstByte * firstByteMarginPercent / 100
}

// estimateWait estimates the queueing time of a new waiter. d.mu must be held.
func (d *Dispatcher) estimateWait(q *queue, service string) time.Duration {
	slots := 0
	for _, u := range d.cfg.Holder.View().Usable(service) {
		slots += u.Slots
	}
	// All gateways share the slots; their queues are assumed to be as long as this one.
	slots = max(slots/d.gatewayCount(), 1)
	return placement.EstimateWait(len(q.waiters), slots, q.serviceTime)
}

// gatewayCount returns the number of known gateways, including this one. d.mu must
// be held.
func (d *Dispatcher) gatewayCount() int {
	n := 1 + len(d.peers)
	for _, g := range d.dataCentres {
		n += g.Gateways
	}
	return n
}

// oldestReport returns the age of the oldest report that counts. d.mu must be held.
func (d *Dispatcher) oldestReport(now time.Time) time.Duration {
	oldest := now
	for _, p := range d.peers {
		if p.lastHeard.Before(oldest) {
			oldest = p.lastHeard
		}
	}
	for _, g := range d.dataCentres {
		if g.lastHeard.Before(oldest) {
			oldest = g.lastHeard
		}
	}
	return now.Sub(oldest)
}

func (d *Dispatcher) waitForGrant(ctx context.Context, w *waiter, latest time.Time) (*Grant, error) {
	check := time.NewTicker(queuePollInterval)
	defer check.Stop()
	for {
		var err error
		select {
		case g := <-w.granted:
			return g, nil
		case <-ctx.Done():
			err = context.Cause(ctx)
		case now := <-check.C:
			if time.Now().After(latest) {
				err = ErrNoCapacity
				break
			}
			if d.isOldest(w) { // one check serves all waiters
				d.serve(w.request.Service, now)
			}
			continue
		}
		if d.dequeue(w) {
			return nil, err
		}
		g := <-w.granted // granted before the waiter could be removed
		if ctx.Err() == nil {
			return g, nil
		}
		g.Release(Cancelled)
		return nil, err
	}
}

// isOldest reports whether a waiter is the first in the queue of its service.
func (d *Dispatcher) isOldest(w *waiter) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queue(w.request.Service)
	return len(q.waiters) > 0 && q.waiters[0] == w
}

// dequeue removes a waiter and reports whether it was still in the queue.
func (d *Dispatcher) dequeue(w *waiter) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queue(w.request.Service)
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.remove(i)
	return true
}

// RetryAfter returns when a rejected caller should retry: after about the time that
// the current queue takes, with jitter so that callers do not retry together.
func (d *Dispatcher) RetryAfter(service string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	wait := d.estimateWait(d.queue(service), service)
	return wait/2 + time.Duration(d.cfg.Random.Int64N(int64(wait+retryJitter)))
}

// serve grants slots to waiters in order as long as slots are free.
func (d *Dispatcher) serve(service string, now time.Time) {
	d.mu.Lock()
	q := d.queue(service)
	served, urgent := false, false
	for len(q.waiters) > 0 && d.mayStart(q, service, now) {
		i := q.nextIndex(now)
		w := q.waiters[i]
		g := d.placeOnline(w.request, now)
		if g == nil {
			break
		}
		q.startQuota--
		q.remove(i)
		w.granted <- g
		served = true
		urgent = urgent || d.exceedsSlots(g.Upstream)
	}
	d.mu.Unlock()
	if served {
		d.notifyChange(urgent)
	}
}

// nextIndex returns the index of the waiter to serve first.
func (q *queue) nextIndex(now time.Time) int {
	list := make([]placement.Waiter, len(q.waiters))
	for i, w := range q.waiters {
		list[i] = w.Waiter
	}
	return placement.Next(list, now)
}

func (q *queue) remove(i int) { q.waiters = slices.Delete(q.waiters, i, i+1) }

// placeOnline grants a slot to an online request, or returns nil if none is free.
// d.mu must be held.
func (d *Dispatcher) placeOnline(r *Request, now time.Time) *Grant {
	usable := d.cfg.Holder.View().Usable(r.Service)
	list := d.snapshot(usable, r.Repeatable, now)
	for i := range list {
		list[i].Degraded = list[i].Degraded || r.Avoid[list[i].ID]
	}
	i := placement.PickOnline(list, d.contention(d.queue(r.Service), now), d.cfg.Random.IntN)
	if i < 0 {
		return nil
	}
	return d.newGrant(usable[i], Online, now)
}
