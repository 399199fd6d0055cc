// Package drain decides what a process that shuts down in order still takes on, and ends
// what is in progress before the process does.
package drain

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// ErrEnding is the cause with which work in progress ends when the time of a shutdown
// is up.
var ErrEnding = errors.New("gateway is shutting down")

// Plan is the schedule of a shutdown.
type Plan struct {
	// RoutedUntil is when load balancers have noticed the shutdown. Until then callers
	// that were refused would come back to this process.
	RoutedUntil time.Time
	// AnsweredBy is when all answers have to be complete.
	AnsweredBy time.Time
}

// Admits reports whether a request that was read at a time, and whose caller waits until
// the deadline, may be passed on. A request that the end of the process could cut off is
// not, once its caller finds another process.
func (p *Plan) Admits(now, deadline time.Time) bool {
	return now.Before(p.RoutedUntil) || !deadline.After(p.AnsweredBy)
}

// State is the shutdown of a process, which may not have begun. A nil State never begins.
type State struct {
	plan   atomic.Pointer[Plan]
	begun  chan struct{}
	once   sync.Once
	ending context.Context
	end    context.CancelFunc
}

// NewState returns the state of a process that is not shutting down.
func NewState() *State {
	s := &State{begun: make(chan struct{})}
	s.ending, s.end = context.WithCancel(context.Background())
	return s
}

// Begin starts the shutdown. Later calls have no effect.
func (s *State) Begin(p Plan) {
	s.once.Do(func() {
		s.plan.Store(&p)
		close(s.begun)
		time.AfterFunc(time.Until(p.AnsweredBy), s.end)
	})
}

// Plan returns the schedule, or nil if the process is not shutting down.
func (s *State) Plan() *Plan {
	if s == nil {
		return nil
	}
	return s.plan.Load()
}

// Begun returns a channel that is closed when the shutdown begins, nil if it never does.
func (s *State) Begun() <-chan struct{} {
	if s == nil {
		return nil
	}
	return s.begun
}

// Context returns a context that also ends, with the cause ErrEnding, when the time of
// the shutdown is up.
func (s *State) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if s == nil {
		return ctx, func() { cancel(nil) }
	}
	stop := context.AfterFunc(s.ending, func() { cancel(ErrEnding) })
	return ctx, func() { stop(); cancel(nil) }
}
