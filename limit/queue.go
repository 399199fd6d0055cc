package limit

import "time"

// QueueConfig holds the limits of one service.
type QueueConfig struct {
	MaxInProgress int // 0 means no limit
	MaxQueued     int
}

// Ticket identifies a queued request within its Queue.
type Ticket uint64

type queuedRequest struct {
	ticket   Ticket
	deadline time.Time
}

// callerQueue holds the queued requests of one caller, oldest first.
type callerQueue struct {
	caller   string
	requests []queuedRequest
}

// Queue counts the requests of one service in progress and queues the waiting ones
// per caller. Callers are served round robin. It has no lock and reads no clock.
type Queue struct {
	inProgress   int
	queued       int
	callerQueues []*callerQueue // those that are not empty, in the order in which they are served
	byCaller     map[string]*callerQueue
	nextTicket   Ticket
	holdTime     time.Duration // moving average of the time that a request stays in progress
}

// holdTimeDivisor is the smoothing of holdTime: the newest request has the weight 1/8.
const holdTimeDivisor = 8

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{byCaller: make(map[string]*callerQueue)}
}

// Admission is the decision on a new request.
type Admission struct {
	Start     bool   // the request may start now
	Ticket    Ticket // set when the request has to wait
	Reason    Reason // set when the request is refused
	Displaced Ticket // a queued request removed in favour of this one; 0 for none
}

// Admit decides on a new request. When the queue is full, it displaces the newest
// request of the caller with the most queued requests, provided that this caller
// keeps at least as many as the new request's caller then has. So no caller can keep
// the others out of the queue.
func (q *Queue) Admit(c QueueConfig, caller string, deadline, now time.Time) Admission {
	if c.MaxInProgress <= 0 || (q.inProgress < c.MaxInProgress && q.queued == 0) {
		q.inProgress++
		return Admission{Start: true}
	}
	if now.Add(q.expectedWait(c, caller)).After(deadline) {
		return Admission{Reason: QueueDeadline}
	}
	o := Admission{}
	if q.queued >= c.MaxQueued {
		longest := q.longestQueue()
		if longest == nil || len(longest.requests) <= q.queuedBy(caller)+1 {
			return Admission{Reason: QueueFull}
		}
		o.Displaced = q.dropNewest(longest)
	}
	q.nextTicket++
	o.Ticket = q.nextTicket
	q.enqueue(caller, queuedRequest{ticket: o.Ticket, deadline: deadline})
	return o
}

// expectedWait estimates the time until a new request of the caller starts. Callers
// take turns, so each of the others has at most own+1 requests served before it.
func (q *Queue) expectedWait(c QueueConfig, caller string) time.Duration {
	own := q.queuedBy(caller)
	before := own
	for _, l := range q.callerQueues {
		if l.caller != caller {
			before += min(len(l.requests), own+1)
		}
	}
	return q.holdTime * time.Duration(before+1) / time.Duration(c.MaxInProgress)
}

func (q *Queue) queuedBy(caller string) int {
	if l := q.byCaller[caller]; l != nil {
		return len(l.requests)
	}
	return 0
}

func (q *Queue) longestQueue() *callerQueue {
	var longest *callerQueue
	for _, l := range q.callerQueues {
		if longest == nil || len(l.requests) > len(longest.requests) {
			longest = l
		}
	}
	return longest
}

func (q *Queue) enqueue(caller string, w queuedRequest) {
	l := q.byCaller[caller]
	if l == nil {
		l = &callerQueue{caller: caller}
		q.byCaller[caller] = l
		q.callerQueues = append(q.callerQueues, l)
	}
	l.requests = append(l.requests, w)
	q.queued++
}

func (q *Queue) dropNewest(l *callerQueue) Ticket {
	last := len(l.requests) - 1
	t := l.requests[last].ticket
	l.requests = l.requests[:last]
	q.queued--
	q.removeIfEmpty(l)
	return t
}

// Finish ends a request that was in progress for the given time.
func (q *Queue) Finish(held time.Duration) {
	q.inProgress--
	if q.holdTime == 0 {
		q.holdTime = held
		return
	}
	q.holdTime += (held - q.holdTime) / holdTimeDivisor
}

// Next removes the next request from the queue if one may start; ok is false
// otherwise. dropped lists the requests that were removed because their deadlines
// had passed.
func (q *Queue) Next(c QueueConfig, now time.Time) (t Ticket, dropped []Ticket, ok bool) {
	for q.queued > 0 && (c.MaxInProgress <= 0 || q.inProgress < c.MaxInProgress) {
		w := q.dequeue()
		if !now.Before(w.deadline) {
			dropped = append(dropped, w.ticket)
			continue
		}
		q.inProgress++
		return w.ticket, dropped, true
	}
	return 0, dropped, false
}

// dequeue removes the oldest request of the first caller and moves that caller to
// the end.
func (q *Queue) dequeue() queuedRequest {
	l := q.callerQueues[0]
	w := l.requests[0]
	l.requests = l.requests[1:]
	q.queued--
	copy(q.callerQueues, q.callerQueues[1:])
	q.callerQueues[len(q.callerQueues)-1] = l
	q.removeIfEmpty(l)
	return w
}

// Remove removes a request from the queue, for example when its caller has
// disconnected. It returns false when the request is no longer queued.
func (q *Queue) Remove(caller string, t Ticket) bool {
	l := q.byCaller[caller]
	if l == nil {
		return false
	}
	for i, w := range l.requests {
		if w.ticket != t {
			continue
		}
		l.requests = append(l.requests[:i:i], l.requests[i+1:]...)
		q.queued--
		q.removeIfEmpty(l)
		return true
	}
	return false
}

func (q *Queue) removeIfEmpty(l *callerQueue) {
	if len(l.requests) > 0 {
		return
	}
	delete(q.byCaller, l.caller)
	for i, have := range q.callerQueues {
		if have == l {
			q.callerQueues = append(q.callerQueues[:i], q.callerQueues[i+1:]...)
			return
		}
	}
}

// InProgress returns the number of requests in progress.
func (q *Queue) InProgress() int { return q.inProgress }

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int { return q.queued }
