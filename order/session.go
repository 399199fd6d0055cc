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

// releaseTimeout bounds the release of lease and permit, which is only a courtesy.
const releaseTimeout = 5 * time.Second

var (
	errPermitNeeded   = errors.New("the configuration changed and now asks for a weight load")
	errEngineRestart  = errors.New("the engine restarted during the order")
	errUnknownOutcome = errors.New("the order may or may not have arrived")
	errStuck          = errors.New("the order has no effect")
)

// session sends the orders that are due once, under one lease.
type session struct {
	loop   *Loop
	engine upstream.Engine
	holder *contract.Holder
	gate   Gate

	sender     *upstream.FencedSender
	permit     bool // taken
	unfinished bool // an order may still arrive or have effect
}

// due reads the engine's state and returns the orders that are due. An engine
// that is loading is due nothing until the load ends.
func (s *session) due(ctx context.Context) ([]upstream.Order, error) {
	target, ok := TargetOf(s.holder.Current(), s.loop.cfg.Place)
	if !ok {
		return nil, nil
	}
	state, err := s.state(ctx)
	if err != nil || state.Loading {
		return nil, err
	}
	return Due(target, state), nil
}

func (s *session) state(ctx context.Context) (upstream.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, s.loop.cfg.SendTimeout)
	defer cancel()
	return s.engine.State(ctx)
}

func (s *session) run(ctx context.Context, due []upstream.Order) error {
	l := s.loop
	if anyLoadsWeights(due) {
		taken, err := l.permits.Acquire(ctx, s.wanted)
		if err != nil || !taken {
			return err
		}
		s.permit = true
	}
	defer s.end(ctx)
	if err := l.lease.Acquire(ctx); err != nil {
		return err
	}
	s.sender = upstream.NewFencedSender(s.engine, max(l.cfg.Lease.Margin, l.cfg.Permit.Margin))
	s.cover()
	g, ctx := errgroup.WithContext(ctx)
	ctx, stop := context.WithCancel(ctx)
	g.Go(func() error { s.renew(ctx); return nil })
	g.Go(func() error {
		defer stop()
		return s.closed(ctx)
	})
	return g.Wait()
}

// wanted is asked before each try for a permit.
func (s *session) wanted(ctx context.Context) (engines int, ok bool) {
	target, ok := TargetOf(s.holder.Current(), s.loop.cfg.Place)
	if !ok {
		return 0, false
	}
	due, err := s.due(ctx)
	return target.Engines, err == nil && anyLoadsWeights(due)
}

// closed sends the orders with the engine closed to work if weights load.
func (s *session) closed(ctx context.Context) error {
	if !s.permit {
		return s.orders(ctx)
	}
	defer s.gate.Open()
	drain, cancel := context.WithTimeout(ctx, s.loop.cfg.DrainTimeout)
	defer cancel()
	if err := s.gate.Close(drain); err != nil {
		return fmt.Errorf("work in progress does not end: %w", err)
	}
	return s.orders(ctx)
}

// orders sends one order after the other until none is due.
func (s *session) orders(ctx context.Context) error {
	for {
		if err := s.settled(ctx); err != nil {
			return err
		}
		due, err := s.due(ctx)
		if err != nil || len(due) == 0 {
			return err
		}
		if LoadsWeights(due[0]) && !s.permit {
			return errPermitNeeded
		}
		if err := s.order(ctx, due[0]); err != nil {
			return err
		}
	}
}

// settled waits for the end of a load that an earlier holder ordered. Until then
// the engine counts as loading, so its permit must not be released.
func (s *session) settled(ctx context.Context) error {
	for {
		state, err := s.state(ctx)
		if err == nil && !state.Loading {
			return nil
		}
		if err != nil && ctx.Err() != nil || !pause.For(ctx, s.loop.cfg.LoadPoll) {
			return ctx.Err()
		}
	}
}

// order sends one order and waits for its effect.
func (s *session) order(ctx context.Context, o upstream.Order) error {
	boot, err := s.boot(ctx)
	if err != nil {
		return err
	}
	err = s.send(ctx, o)
	s.count(o, outcomeOf(err))
	if err != nil {
		return err
	}
	s.unfinished = true
	if err := s.effect(ctx, o, boot); err != nil {
		return err
	}
	s.unfinished = false
	s.count(o, "complete")
	return nil
}

func (s *session) boot(ctx context.Context) (string, error) {
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
		s.loop.cfg.Logger.Info().Str("agent", s.loop.cfg.Place.AgentID).Str("order", string(o.Kind)).
			Str("model", o.Model).Str("version", o.Version).Str("adapter", o.Adapter).Str("role", o.Role).
			Uint64("fencing", s.loop.lease.Current().Fencing).Msg("engine accepted an order")
	case errors.Is(err, upstream.ErrFenced):
		s.loop.lease.Forget() // a later holder has sent orders already
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

func (s *session) count(o upstream.Order, outcome string) {
	metric.Ordered(s.loop.cfg.Place.Service, string(o.Kind), outcome)
}

// effect waits until the engine's state shows that an accepted order is
// complete. An engine that goes on loading stays closed and keeps its permit,
// so that a version that no engine can load stops the change at the limit of
// permits instead of taking the whole service out. An order that shows no effect
// although the engine does not load, perhaps because a late order of an earlier
// holder undid it, is given up.
func (s *session) effect(ctx context.Context, o upstream.Order, boot string) error {
	accepted := time.Now()
	reported := false
	for {
		state, err := s.state(ctx)
		if err == nil && Reflects(o, state) {
			return nil
		}
		if now, err := s.boot(ctx); err == nil && now != boot {
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
		if !pause.For(ctx, s.loop.cfg.LoadPoll) {
			return ctx.Err()
		}
	}
}

func (s *session) reportStuck(o upstream.Order) {
	s.count(o, "stuck")
	s.loop.cfg.Logger.Error().Str("agent", s.loop.cfg.Place.AgentID).Str("order", string(o.Kind)).
		Dur("since", s.loop.cfg.StuckAfter).Msg("accepted order has no effect")
}

// cover gives the sender the part of the lease that the permit also covers.
func (s *session) cover() {
	lease := s.loop.lease.Current()
	if lease.Fencing == 0 {
		return // the sender keeps what it has until that ends
	}
	if s.permit {
		if until := s.loop.permits.Until(); until.Before(lease.Until) {
			lease.Until = until
		}
	}
	s.sender.SetLease(lease)
}

// renew renews lease and permit until ctx ends. What has been
// lost stays lost, and the sender sends no more.
func (s *session) renew(ctx context.Context) {
	l := s.loop
	var g errgroup.Group
	g.Go(func() error { return s.keep(ctx, l.cfg.Lease, l.lease.Renew) })
	if s.permit {
		g.Go(func() error { return s.keep(ctx, l.cfg.Permit, l.permits.Renew) })
	}
	_ = g.Wait() // only the end of ctx
}

// failedRenewalShare is the part of the usual time after which a renewal that
// failed is tried again.
const failedRenewalShare = 4

func (s *session) keep(ctx context.Context, timing Timing, renew func(context.Context) error) error {
	wait := timing.renewal()
	for pause.For(ctx, wait) {
		wait = timing.renewal()
		if err := renew(ctx); err != nil {
			wait /= failedRenewalShare
			continue
		}
		s.cover()
	}
	return ctx.Err()
}

// end releases what is held. While an order may still have effect, lease and
// permit expire instead.
func (s *session) end(ctx context.Context) {
	if s.unfinished {
		s.loop.lease.Forget()
		s.loop.permits.Forget()
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	leaseErr := s.loop.lease.Release(ctx)
	permitErr := s.loop.permits.Release(ctx)
	if err := errors.Join(leaseErr, permitErr); err != nil {
		s.loop.cfg.Logger.Debug().Err(err).Str("agent", s.loop.cfg.Place.AgentID).Msg("lease or permit is left to expire")
	}
}
