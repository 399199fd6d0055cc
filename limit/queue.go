package limit

import "time"

// QueueConfig bounds one service.
type QueueConfig struct {
	MaxInProgress int // 0 means no limit
	MaxQueued     int
}

// Ticket identifies a queued request within its Queue.
type Ticket uint64

// waiting is one queued request.
type waiting struct {
	ticket   Ticket
	deadline time.Time
}

// line is the queue of one caller.
type line struct {
	caller  string
	waiting []waiting
}

// Queue is the state of one service: requests in progress, and waiting ones in
// one line per caller, served in turn. It has no lock and reads no clock.
type Queue struct {
	inProgress int
	queued     int
	lines      []*line // with at least one request; the next to be served first
	byCaller   map[string]*line
	nextTicket Ticket
	holding    time.Duration // smoothed time that a request stays in progress
}

// holdingWeight is the weight of the newest request in the smoothed holding time.
const holdingWeight = 8

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{byCaller: make(map[string]*line)}
}

// Admission is the decision on an arriving request.
type Admission struct {
	Start     bool   // it may start now
	Ticket    Ticket // when it has to wait
	Reason    Reason // when it is refused
	Displaced Ticket // a waiting request that lost its place, 0 for none
}

// Admit decides on an arriving request. When the queue is full, the newest
// request of the longest line gives way if that line stays at least as long as
// the arriving caller's, so that one caller cannot fill the queue.
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
		longest := q.longest()
		if longest == nil || len(longest.waiting) <= q.length(caller)+1 {
			return Admission{Reason: QueueFull}
		}
		o.Displaced = q.dropNewest(longest)
	}
	q.nextTicket++
	o.Ticket = q.nextTicket
	q.push(caller, waiting{ticket: o.Ticket, deadline: deadline})
	return o
}

// expectedWait estimates the time in the queue: the requests served before
// this one, of which each line has at most as many as the caller's own.
func (q *Queue) expectedWait(c QueueConfig, caller string) time.Duration {
	own := q.length(caller)
	before := own
	for _, l := range q.lines {
		if l.caller != caller {
			before += min(len(l.waiting), own+1)
		}
	}
	return q.holding * time.Duration(before+1) / time.Duration(c.MaxInProgress)
}

func (q *Queue) length(caller string) int {
	if l := q.byCaller[caller]; l != nil {
		return len(l.waiting)
	}
	return 0
}

func (q *Queue) longest() *line {
	var longest *line
	for _, l := range q.lines {
		if longest == nil || len(l.waiting) > len(longest.waiting) {
			longest = l
		}
	}
	return longest
}

func (q *Queue) push(caller string, w waiting) {
	l := q.byCaller[caller]
	if l == nil {
		l = &line{caller: caller}
		q.byCaller[caller] = l
		q.lines = append(q.lines, l)
	}
	l.waiting = append(l.waiting, w)
	q.queued++
}

func (q *Queue) dropNewest(l *line) Ticket {
	last := len(l.waiting) - 1
	t := l.waiting[last].ticket
	l.waiting = l.waiting[:last]
	q.queued--
	q.removeIfEmpty(l)
	return t
}

// Finish ends a request that was in progress for the time held.
func (q *Queue) Finish(held time.Duration) {
	q.inProgress--
	if q.holding == 0 {
		q.holding = held
		return
	}
	q.holding += (held - q.holding) / holdingWeight
}

// Next takes the next request from the queue if one may start. dropped lists
// the requests whose deadlines have passed. ok is false when none may start.
func (q *Queue) Next(c QueueConfig, now time.Time) (t Ticket, dropped []Ticket, ok bool) {
	for q.queued > 0 && (c.MaxInProgress <= 0 || q.inProgress < c.MaxInProgress) {
		w := q.pop()
		if !now.Before(w.deadline) {
			dropped = append(dropped, w.ticket)
			continue
		}
		q.inProgress++
		return w.ticket, dropped, true
	}
	return 0, dropped, false
}

// pop takes the oldest request of the first line, which goes to the end.
func (q *Queue) pop() waiting {
	l := q.lines[0]
	w := l.waiting[0]
	l.waiting = l.waiting[1:]
	q.queued--
	copy(q.lines, q.lines[1:])
	q.lines[len(q.lines)-1] = l
	q.removeIfEmpty(l)
	return w
}

// Remove takes a request out of the queue, for example when its caller has
// left. It returns false when the request is no longer queued.
func (q *Queue) Remove(caller string, t Ticket) bool {
	l := q.byCaller[caller]
	if l == nil {
		return false
	}
	for i, w := range l.waiting {
		if w.ticket != t {
			continue
		}
		l.waiting = append(l.waiting[:i:i], l.waiting[i+1:]...)
		q.queued--
		q.removeIfEmpty(l)
		return true
	}
	return false
}

func (q *Queue) removeIfEmpty(l *line) {
	if len(l.waiting) > 0 {
		return
	}
	delete(q.byCaller, l.caller)
	for i, have := range q.lines {
		if have == l {
			q.lines = append(q.lines[:i], q.lines[i+1:]...)
			return
		}
	}
}

// InProgress returns the number of started requests.
func (q *Queue) InProgress() int { return q.inProgress }

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int { return q.queued }
