package replay

import (
	"container/heap"
	"time"
)

// loop runs events in order of virtual time, at equal times in order of their
// registration. It has no goroutines.
type loop struct {
	now      time.Duration
	events   eventQueue
	sequence uint64
}

type timed struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// at registers an event; a time in the past means now.
func (l *loop) at(t time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.events, timed{at: max(t, l.now), sequence: l.sequence, run: run})
}

func (l *loop) after(d time.Duration, run func()) { l.at(l.now+d, run) }

// next runs the earliest event and reports whether there was one.
func (l *loop) next() bool {
	if len(l.events) == 0 {
		return false
	}
	e := heap.Pop(&l.events).(timed)
	l.now = e.at
	e.run()
	return true
}

// eventQueue is a heap.
type eventQueue []timed

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(timed)) }

func (q *eventQueue) Pop() any {
	old := *q
	n := len(old) - 1
	e := old[n]
	old[n] = timed{}
	*q = old[:n]
	return e
}
