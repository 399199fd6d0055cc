package placement

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Waiter is a queued online request. Its fields must not change while it is queued.
type Waiter struct {
	Priority     int
	Organisation string // empty for none
	Arrived      time.Time
	Objective    time.Time // latest time to get a slot and still meet the latency objective
	Begun        bool      // an attempt may have run, so that a refusal would lose it
	Value        any       // for the caller of Queue

	sequence uint64 // order of Push, for equal arrivals
	class    *class // that the waiter is in; nil if it is not queued
	index    [2]int // positions in the heaps by arrival and by objective
}

// The heaps that a waiter is in, as indices of Waiter.index.
const (
	byArrival = iota
	byObjective
)

// Queue holds waiting online requests. Requests that can still meet their objective
// come before those that cannot, so that a backlog delays only its own requests. Each
// group is ordered by priority, then by the usage of the organisations, the least first,
// then by arrival. The cost of a decision grows with the number of organisations that
// wait, not with the number of requests. The zero value is an empty queue.
type Queue struct {
	length   int
	sequence uint64
	expiring waiterHeap // timely waiters, by objective
	timely   []*class   // by priority
	late     []*class   // by priority
	waiting  map[string]int
	compared int // waiters and organisations compared, for tests
}

// class holds the waiters of one priority that are all timely or all late.
type class struct {
	priority      int
	organisations map[string]*waiterHeap // by arrival; none is empty
}

// waiterHeap implements heap.Interface.
type waiterHeap struct {
	list  []*Waiter
	order int // byArrival or byObjective
	queue *Queue
}

func (h *waiterHeap) Len() int { return len(h.list) }

func (h *waiterHeap) Less(i, j int) bool {
	h.queue.compared++
	a, b := h.list[i], h.list[j]
	if h.order == byObjective {
		return a.Objective.Before(b.Objective)
	}
	return a.arrivedBefore(b)
}

func (h *waiterHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].index[h.order], h.list[j].index[h.order] = i, j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*Waiter)
	w.index[h.order] = len(h.list)
	h.list = append(h.list, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	last := len(h.list) - 1
	w := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	return w
}

func (w *Waiter) arrivedBefore(other *Waiter) bool {
	if !w.Arrived.Equal(other.Arrived) {
		return w.Arrived.Before(other.Arrived)
	}
	return w.sequence < other.sequence
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.length }

// Waiting returns the number of waiters of an organisation.
func (q *Queue) Waiting(organisation string) int { return q.waiting[organisation] }

// Organisations returns the number of waiters by organisation, which the caller must not
// change.
func (q *Queue) Organisations() map[string]int { return q.waiting }

// Contains reports whether a waiter is queued.
func (q *Queue) Contains(w *Waiter) bool { return w.class != nil }

// Push adds a waiter.
func (q *Queue) Push(w *Waiter) {
	if q.waiting == nil {
		q.waiting = make(map[string]int)
		q.expiring = waiterHeap{order: byObjective, queue: q}
	}
	q.sequence++
	w.sequence = q.sequence
	q.length++
	q.waiting[w.Organisation]++
	q.insert(&q.timely, w)
	heap.Push(&q.expiring, w)
}

// Remove removes a waiter and reports whether it was queued.
func (q *Queue) Remove(w *Waiter) bool {
	if w.class == nil {
		return false
	}
	if i := w.index[byObjective]; i >= 0 {
		heap.Remove(&q.expiring, i)
	}
	q.detach(w)
	q.length--
	if q.waiting[w.Organisation]--; q.waiting[w.Organisation] == 0 {
		delete(q.waiting, w.Organisation)
	}
	return true
}

// insert adds a waiter to the class of its priority in list.
func (q *Queue) insert(list *[]*class, w *Waiter) {
	i, found := slices.BinarySearchFunc(*list, w.Priority, func(c *class, p int) int { return cmp.Compare(c.priority, p) })
	if !found {
		*list = slices.Insert(*list, i, &class{priority: w.Priority, organisations: make(map[string]*waiterHeap)})
	}
	w.class = (*list)[i]
	h := w.class.organisations[w.Organisation]
	if h == nil {
		h = &waiterHeap{order: byArrival, queue: q}
		w.class.organisations[w.Organisation] = h
	}
	heap.Push(h, w)
}

// detach removes a waiter from its class.
func (q *Queue) detach(w *Waiter) {
	c, h := w.class, w.class.organisations[w.Organisation]
	heap.Remove(h, w.index[byArrival])
	w.class = nil
	if h.Len() > 0 {
		return
	}
	delete(c.organisations, w.Organisation)
	if len(c.organisations) == 0 {
		isEmpty := func(other *class) bool { return other == c }
		q.timely, q.late = slices.DeleteFunc(q.timely, isEmpty), slices.DeleteFunc(q.late, isEmpty)
	}
}

// Next returns the waiter to serve first, nil if there is none. usage returns how much
// of the capacity an organisation uses and has used lately.
func (q *Queue) Next(now time.Time, usage func(organisation string) float64) *Waiter {
	q.expire(now)
	for _, list := range [][]*class{q.timely, q.late} {
		if len(list) > 0 {
			return q.first(list[0], usage)
		}
	}
	return nil
}

// expire moves waiters that can no longer meet their objective to the late ones.
func (q *Queue) expire(now time.Time) {
	for q.expiring.Len() > 0 && !q.expiring.list[0].Objective.After(now) {
		w := heap.Pop(&q.expiring).(*Waiter)
		w.index[byObjective] = -1
		q.detach(w)
		q.insert(&q.late, w)
	}
}

// first returns the oldest waiter of the organisation with the least usage.
func (q *Queue) first(c *class, usage func(organisation string) float64) *Waiter {
	var best *Waiter
	var least float64
	for name, h := range c.organisations {
		q.compared++
		w := h.list[0]
		if len(c.organisations) == 1 {
			return w
		}
		if u := usage(name); best == nil || u < least || u == least && w.arrivedBefore(best) {
			best, least = w, u
		}
	}
	return best
}

// Ahead returns how many of the waiters are served before a new one of an organisation,
// if organisations take turns: of each other organisation as many as this one then has.
func (q *Queue) Ahead(organisation string) int {
	own, ahead := q.waiting[organisation]+1, 0
	for name, n := range q.waiting {
		if name == organisation {
			ahead += n
		} else {
			ahead += min(n, own)
		}
	}
	return ahead
}

// Displaced returns the waiter that gives way to a new one of the given organisation and
// priority in a queue that is too long: the newest one, of no higher priority and not
// begun, of the organisation with the most waiters. It returns nil if no organisation has more waiters
// than that of the new one will have, so that the new one itself is refused.
func (q *Queue) Displaced(organisation string, priority int) *Waiter {
	own := q.waiting[organisation] + 1
	most, largest := own, ""
	for name, n := range q.waiting {
		if n > most || n == most && n > own && name < largest {
			most, largest = n, name
		}
	}
	if most == own {
		return nil
	}
	var newest *Waiter
	for _, c := range slices.Concat(q.timely, q.late) {
		h := c.organisations[largest]
		if h == nil || c.priority < priority {
			continue
		}
		for _, w := range h.list {
			if w.Begun {
				continue
			}
			if newest == nil || w.Priority > newest.Priority || w.Priority == newest.Priority && newest.arrivedBefore(w) {
				newest = w
			}
		}
	}
	return newest
}

// FairLevel returns the most that one organisation gets of a capacity if those that
// demand less leave the rest to the others: max-min fairness. It returns the capacity if
// all demands fit. demands is sorted in place.
func FairLevel(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	left := capacity
	for i, demand := range demands {
		level := left / float64(len(demands)-i)
		if demand > level {
			return level
		}
		left -= demand
	}
	return capacity
}
