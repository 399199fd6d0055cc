package replay

import (
	"container/heap"
	"time"
)

// eventLoop runs events in order of virtual time, those of equal times in the order
// in which they were scheduled. It starts no goroutines.
type eventLoop struct {
	now      time.Duration
	events   eventQueue
	sequence uint64
}

type scheduledEvent struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// scheduleAt schedules an event. A time in the past means now.
func (l *eventLoop) scheduleAt(t time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.events, scheduledEvent{at: max(t, l.now), sequence: l.sequence, run: run})
}

func (l *eventLoop) scheduleAfter(d time.Duration, run func()) { l.scheduleAt(l.now+d, run) }

// runNext runs the earliest event and reports whether there was one.
func (l *eventLoop) runNext() bool {
	if len(l.events) == 0 {
		return false
	}
	e := heap.Pop(&l.events).(scheduledEvent)
	l.now = e.at
	e.run()
	return true
}

// eventQueue implements heap.Interface.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	old := *q
	n := len(old) - 1
	e := old[n]
	old[n] = scheduledEvent{}
	*q = old[:n]
	return e
}
