package upstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// ErrNoLease: the sender holds no lease that still covers a send.
var ErrNoLease = errors.New("no lease covers the order")

// OrderLease is the right to send orders to one upstream. Its times are
// readings of time.Now of this process, which carry the monotonic clock.
type OrderLease struct {
	Fencing uint64    // rises with each holder
	From    time.Time // an earlier holder's lease and margin have expired
	Until   time.Time // expiry
}

// FencedSender sends orders to an engine only inside a lease less a margin, for
// engines that ignore fencing numbers. It checks the lease just before the first
// byte is written; an order already on its way can still arrive after the lease.
// Safe for concurrent use.
type FencedSender struct {
	engine Engine
	margin time.Duration

	mu    sync.Mutex
	lease OrderLease
}

// NewFencedSender returns a sender without a lease. The margin covers the time
// between the check and the arrival of the order.
func NewFencedSender(engine Engine, margin time.Duration) *FencedSender {
	return &FencedSender{engine: engine, margin: margin}
}

// SetLease replaces the lease after a claim or a renewal. A lease with a lower
// fencing number than the present one is ignored.
func (s *FencedSender) SetLease(lease OrderLease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lease.Fencing >= s.lease.Fencing {
		s.lease = lease
	}
}

// Send sends an order with the lease's fencing number. ErrNoLease, joined with
// ErrNotSent, means that it was not sent.
func (s *FencedSender) Send(ctx context.Context, order Order) error {
	s.mu.Lock()
	lease := s.lease
	s.mu.Unlock()
	if err := s.check(lease); err != nil {
		return err
	}
	order.Fencing = lease.Fencing
	ctx, cancel := context.WithDeadline(ctx, lease.Until.Add(-s.margin))
	defer cancel()
	guarded := withWriteGuard(ctx, func() error { return s.check(lease) })
	return s.engine.Order(guarded, order)
}

func (s *FencedSender) check(lease OrderLease) error {
	now := time.Now()
	switch {
	case lease.Fencing == 0:
		return fmt.Errorf("%w: %w: none is held", ErrNotSent, ErrNoLease)
	case now.Before(lease.From):
		return fmt.Errorf("%w: %w: it starts in %s", ErrNotSent, ErrNoLease, lease.From.Sub(now))
	case !now.Before(lease.Until.Add(-s.margin)):
		return fmt.Errorf("%w: %w: it ends in %s", ErrNotSent, ErrNoLease, lease.Until.Sub(now))
	}
	return nil
}
