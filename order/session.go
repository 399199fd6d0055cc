package order

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/metric"
	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// releaseTimeout bounds the release of lease and permit. They expire without it.
const releaseTimeout = 5 * time.Second

var (
	errPermitNeeded   = errors.New("configuration changed and now requires a weight load, for which no permit is held")
	errEngineRestart  = errors.New("engine restarted during the order")
	errUnknownOutcome = errors.New("outcome of the order is unknown")
	errStuck          = errors.New("accepted order did not take effect")
)

// session sends the pending orders of one run of the loop, under one lease.
type session struct {
	loop    *Loop
	engine  upstream.Engine
	holder  *contract.Holder
	drainer Drainer

	sender     *upstream.FencedSender
	permit     bool // acquired
	unfinished bool // an order may still arrive or take effect
}

// pendingOrders reads the engine's state and returns the pending orders. There are
// none while the engine is loading.
func (s *session) pendingOrders(ctx context.Context) ([]upstream.Order, error) {
	target, ok := TargetOf(s.holder.Current(), s.loop.cfg.Location)
	if !ok {
		return nil, nil
	}
	state, err := s.state(ctx)
	if err != nil || state.Loading {
		return nil, err
	}
	return PendingOrders(target, state), nil
}

func (s *session) state(ctx context.Context) (upstream.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, s.loop.cfg.SendTimeout)
	defer cancel()
	return s.engine.State(ctx)
}

func (s *session) run(ctx context.Context, pending []upstream.Order) error {
	l := s.loop
	if anyLoadsWeights(pending) {
		acquired, err := l.permits.Acquire(ctx, s.weightLoadPending)
		if err != nil || !acquired {
			return err
		}
		s.permit = true
	}
	defer s.releaseAll(ctx)
	if err := l.lease.Acquire(ctx); err != nil {
		return err
	}
	s.sender = upstream.NewFencedSender(s.engine, max(l.cfg.Lease.Margin, l.cfg.Permit.Margin))
	s.updateSenderLease()
	g, ctx := errgroup.WithContext(ctx)
	ctx, stop := context.WithCancel(ctx)
	g.Go(func() error { s.renew(ctx); return nil })
	g.Go(func() error {
		defer stop()
		return s.sendDrained(ctx)
	})
	return g.Wait()
}

// weightLoadPending reports whether a weight load is pending, and the number of
// engines in the service. It is called before each attempt to acquire a permit.
func (s *session) weightLoadPending(ctx context.Context) (engines int, ok bool) {
	target, ok := TargetOf(s.holder.Current(), s.loop.cfg.Location)
	if !ok {
		return 0, false
	}
	pending, err := s.pendingOrders(ctx)
	return target.EngineCount, err == nil && anyLoadsWeights(pending)
}

// sendDrained sends the orders. If weights load, it drains the engine first.
func (s *session) sendDrained(ctx context.Context) error {
	if !s.permit {
		return s.sendPending(ctx)
	}
	defer s.drainer.Resume()
	drainCtx, cancel := context.WithTimeout(ctx, s.loop.cfg.DrainTimeout)
	defer cancel()
	if err := s.drainer.Drain(drainCtx); err != nil {
		return fmt.Errorf("drain the engine: %w", err)
	}
	return s.sendPending(ctx)
}

// sendPending sends one order after the other until none is pending.
func (s *session) sendPending(ctx context.Context) error {
	for {
		if err := s.awaitLoadEnd(ctx); err != nil {
			return err
		}
		pending, err := s.pendingOrders(ctx)
		if err != nil || len(pending) == 0 {
			return err
		}
		if LoadsWeights(pending[0]) && !s.permit {
			return errPermitNeeded
		}
		if err := s.execute(ctx, pending[0]); err != nil {
			return err
		}
	}
}

// awaitLoadEnd waits for the end of a load that an earlier holder ordered. Until
// then the engine counts as loading, so its permit must not be released.
func (s *session) awaitLoadEnd(ctx context.Context) error {
	for {
		state, err := s.state(ctx)
		if err == nil && !state.Loading {
			return nil
		}
		if err != nil && ctx.Err() != nil || !pause.For(ctx, s.loop.cfg.LoadPollInterval) {
			return ctx.Err()
		}
	}
}

// execute sends one order and waits until it is complete.
func (s *session) execute(ctx context.Context, o upstream.Order) error {
	boot, err := s.bootID(ctx)
	if err != nil {
		return err
	}
	err = s.send(ctx, o)
	s.countOutcome(o, outcomeOf(err))
	if err != nil {
		return err
	}
	s.unfinished = true
	if err := s.awaitEffect(ctx, o, boot); err != nil {
		return err
	}
	s.unfinished = false
	s.countOutcome(o, "complete")
	return nil
}

func (s *session) bootID(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, s.loop.cfg.SendTimeout)
	defer cancel()
	return s.engine.Healthy(ctx)
}

func (s *session) send(ctx context.Context, o upstream.Order) error {
	ctx, cancel := context.WithTimeout(ctx, s.loop.cfg.SendTimeout)
	defer cancel()
	err := s.sender.Send(ctx, o)
	var status *upstream.StatusError
	switch {
	case err == nil:
		s.loop.cfg.Logger.Info().Str("agent", s.loop.cfg.Location.AgentID).Str("order", string(o.Kind)).
			Str("model", o.Model).Str("version", o.Version).Str("adapter", o.Adapter).Str("role", o.Role).
			Uint64("fencing", s.loop.lease.Current().Fencing).Msg("engine accepted an order")
	case errors.Is(err, upstream.ErrFenced):
		s.loop.lease.Abandon() // a later holder has already sent orders
	case errors.Is(err, upstream.ErrNotSent), errors.As(err, &status):
	default:
		s.unfinished = true
		return fmt.Errorf("%w: %w", errUnknownOutcome, err)
	}
	return err
}

func outcomeOf(err error) string {
	var status *upstream.StatusError
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, upstream.ErrFenced):
		return "fenced"
	case errors.Is(err, upstream.ErrNoLease):
		return "no_lease"
	case errors.Is(err, upstream.ErrNotSent):
		return "not_sent"
	case errors.As(err, &status):
		return "refused"
	}
	return "unknown"
}

func (s *session) countOutcome(o upstream.Order, outcome string) {
	metric.Ordered(s.loop.cfg.Location.Service, string(o.Kind), outcome)
}

// awaitEffect waits until the engine's state shows that an accepted order is
// complete. An engine that keeps loading stays drained and keeps its permit, so
// that a version that no engine can load halts the rollout at the permit limit
// instead of taking the whole service down. An order that has no effect although
// the engine is not loading is given up after StuckAfter; a delayed order of an
// earlier holder may have undone it.
func (s *session) awaitEffect(ctx context.Context, o upstream.Order, boot string) error {
	accepted := time.Now()
	reported := false
	for {
		state, err := s.state(ctx)
		if err == nil && IsComplete(o, state) {
			return nil
		}
		if now, err := s.bootID(ctx); err == nil && now != boot {
			s.unfinished = false
			return errEngineRestart
		}
		if time.Since(accepted) >= s.loop.cfg.StuckAfter {
			if !reported {
				s.reportStuck(o)
				reported = true
			}
			if err == nil && !state.Loading {
				return errStuck
			}
		}
		if !pause.For(ctx, s.loop.cfg.LoadPollInterval) {
			return ctx.Err()
		}
	}
}

func (s *session) reportStuck(o upstream.Order) {
	s.countOutcome(o, "stuck")
	s.loop.cfg.Logger.Error().Str("agent", s.loop.cfg.Location.AgentID).Str("order", string(o.Kind)).
		Dur("since", s.loop.cfg.StuckAfter).Msg("accepted order has not taken effect")
}

// updateSenderLease gives the sender the current lease, cut short at the expiry of
// the permit if one is held.
func (s *session) updateSenderLease() {
	lease := s.loop.lease.Current()
	if lease.Fencing == 0 {
		return // the sender keeps its lease until that expires
	}
	if s.permit {
		if until := s.loop.permits.ExpiresAt(); until.Before(lease.Until) {
			lease.Until = until
		}
	}
	s.sender.SetLease(lease)
}

// renew renews lease and permit until ctx is done. A lost lease or permit is not
// acquired again, and the sender then sends no further orders.
func (s *session) renew(ctx context.Context) {
	l := s.loop
	var g errgroup.Group
	g.Go(func() error { return s.renewPeriodically(ctx, l.cfg.Lease, l.lease.Renew) })
	if s.permit {
		g.Go(func() error { return s.renewPeriodically(ctx, l.cfg.Permit, l.permits.Renew) })
	}
	_ = g.Wait() // only the error of ctx
}

// failedRenewalDivisor divides the renewal interval after a failed renewal, so
// that the retry comes sooner.
const failedRenewalDivisor = 4

func (s *session) renewPeriodically(ctx context.Context, timing Timing, renew func(context.Context) error) error {
	wait := timing.renewal()
	for pause.For(ctx, wait) {
		wait = timing.renewal()
		if err := renew(ctx); err != nil {
			wait /= failedRenewalDivisor
			continue
		}
		s.updateSenderLease()
	}
	return ctx.Err()
}

// releaseAll releases lease and permit. If an order may still take effect, it
// leaves them to expire instead.
func (s *session) releaseAll(ctx context.Context) {
	if s.unfinished {
		s.loop.lease.Abandon()
		s.loop.permits.Abandon()
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	leaseErr := s.loop.lease.Release(ctx)
	permitErr := s.loop.permits.Release(ctx)
	if err := errors.Join(leaseErr, permitErr); err != nil {
		s.loop.cfg.Logger.Debug().Err(err).Str("agent", s.loop.cfg.Location.AgentID).Msg("failed to release lease or permit; left to expire")
	}
}
