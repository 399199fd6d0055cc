package upstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// ErrNoLease means that the sender holds no lease that is valid for sending.
var ErrNoLease = errors.New("no lease covers the order")

// OrderLease is the right to send orders to one upstream. Its times
// come from time.Now in this process and carry a monotonic clock reading.
type OrderLease struct {
	Fencing uint64    // increases with each holder
	From    time.Time // start; by then the previous holder's lease and margin have expired
	Until   time.Time // expiry
}

// FencedSender sends orders to an engine only while it holds a lease, and stops a
// margin before the lease expires. It protects engines that ignore fencing
// numbers. The lease is checked just before the first byte is written; an order
// that is already in transit can still arrive after the lease has expired. It is
// safe for concurrent use.
type FencedSender struct {
	engine Engine
	margin time.Duration

	mu    sync.Mutex
	lease OrderLease
}

// NewFencedSender returns a sender without a lease. The margin allows for the time
// between the lease check and the arrival of the order.
func NewFencedSender(engine Engine, margin time.Duration) *FencedSender {
	return &FencedSender{engine: engine, margin: margin}
}

// SetLease replaces the lease after a claim or a renewal. It ignores a lease with
// a lower fencing number than the current one.
func (s *FencedSender) SetLease(lease OrderLease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lease.Fencing >= s.lease.Fencing {
		s.lease = lease
	}
}

// Send sends an order with the lease's fencing number. If no valid lease is held,
// it does not send the order and returns ErrNoLease joined with ErrNotSent.
func (s *FencedSender) Send(ctx context.Context, order Order) error {
	s.mu.Lock()
	lease := s.lease
	s.mu.Unlock()
	if err := s.checkLease(lease); err != nil {
		return err
	}
	order.Fencing = lease.Fencing
	ctx, cancel := context.WithDeadline(ctx, lease.Until.Add(-s.margin))
	defer cancel()
	guarded := withWriteGuard(ctx, func() error { return s.checkLease(lease) })
	return s.engine.Order(guarded, order)
}

func (s *FencedSender) checkLease(lease OrderLease) error {
	now := time.Now()
	switch {
	case lease.Fencing == 0:
		return fmt.Errorf("%w: %w: no lease held", ErrNotSent, ErrNoLease)
	case now.Before(lease.From):
		return fmt.Errorf("%w: %w: lease starts in %s", ErrNotSent, ErrNoLease, lease.From.Sub(now))
	case !now.Before(lease.Until.Add(-s.margin)):
		return fmt.Errorf("%w: %w: lease ends in %s", ErrNotSent, ErrNoLease, lease.Until.Sub(now))
	}
	return nil
}
