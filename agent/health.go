package agent

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/upstream"
)

const (
	// downProbeInterval applies while the upstream is down.
	downProbeInterval = 100 * time.Millisecond
	// probeFailures is the number of failed probes in a row that mean down, so
	// that one lost packet does not stop an upstream.
	probeFailures = 2
	watchInterval = 100 * time.Millisecond
	// letGoTimeout frees the slot of a cancelled attempt whose upstream call
	// does not return.
	letGoTimeout = time.Second
)

// probeLoop keeps the upstream's state.
func (a *Agent) probeLoop(ctx context.Context) error {
	failures := 0
	for {
		failedAt := a.now()
		boot, err := a.probe(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			failures = 0
			load := a.readLoad(ctx)
			a.alive(boot, load.Loading)
			a.followSlots(load.Slots)
		} else {
			failures++
			a.probeFailed(err, failures, failedAt)
		}
		wait := a.cfg.ProbeInterval
		if failures > 0 {
			wait = downProbeInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-a.probeNow:
		}
		timer.Stop()
	}
}

func (a *Agent) probe(ctx context.Context) (bootID string, err error) {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.ProbeTimeout)
	defer cancel()
	if a.cfg.Kind == contract.KindPlain {
		return "", a.cfg.Plain.Healthy(ctx)
	}
	return a.cfg.Engine.Healthy(ctx)
}

// alive notes a successful probe. An engine that is loading a model, perhaps on
// an order of an earlier agent, refuses work and is not ready.
func (a *Agent) alive(boot string, loading bool) {
	a.mu.Lock()
	changed := a.probed && boot != a.bootID
	unnoticed := changed && a.snap.Ready
	epoch := a.epoch
	a.mu.Unlock()
	if unnoticed {
		a.crashed(epoch, "boot id changed")
	}
	if changed {
		a.cache.reset()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bootID = boot
	a.probed = true
	a.broken = nil
	if loading {
		a.notReady(zerolog.InfoLevel, "upstream loads a model")
		return
	}
	if !a.snap.Ready && !a.gated {
		a.snap.Ready = true
		a.cfg.Logger.Info().Str("agent", a.cfg.ID).Str("boot_id", boot).Msg("upstream is ready")
		a.notify()
	}
}

// readLoad returns the engine's own report; a report that can't be had says nothing.
func (a *Agent) readLoad(ctx context.Context) upstream.Load {
	if a.cfg.Kind != contract.KindEngine {
		return upstream.Load{}
	}
	ctx, cancel := context.WithTimeout(ctx, a.cfg.ProbeTimeout)
	defer cancel()
	load, err := a.cfg.Engine.Load(ctx)
	if err != nil {
		return upstream.Load{}
	}
	return load
}

// followSlots follows an engine that runs fewer sequences than configured, for
// example after a change of its role.
func (a *Agent) followSlots(reported int) {
	if reported <= 0 {
		return // an engine need not report its slots
	}
	slots := min(a.cfg.Slots, reported)
	a.mu.Lock()
	defer a.mu.Unlock()
	if slots == a.snap.Slots {
		return
	}
	a.cfg.Logger.Info().Str("agent", a.cfg.ID).Int("slots", slots).Msg("engine reports another number of slots")
	a.snap.Slots = slots
	a.dispatch(a.now())
	a.notify()
}

func (a *Agent) probeFailed(err error, failures int, since time.Duration) {
	a.mu.Lock()
	epoch := a.epoch
	broken := len(a.broken) > 0
	if failures >= probeFailures {
		since -= downProbeInterval
	}
	progress := a.progressSince(since)
	a.mu.Unlock()
	if failures < probeFailures && !broken {
		return
	}
	if refusesConnections(err) && !progress {
		a.crashed(epoch, "upstream refuses connections")
		return
	}
	if failures >= probeFailures {
		a.down()
	}
}

// refusesConnections tells a process that is gone from one that is silent.
func refusesConnections(err error) bool {
	var timeout net.Error
	if errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	return errors.Is(err, upstream.ErrCrashed) || errors.Is(err, upstream.ErrNotSent)
}

// progressSince reports whether any attempt produced output since then. Needs mu.
func (a *Agent) progressSince(since time.Duration) bool {
	for _, t := range a.running {
		if t.handed && time.Duration(t.progress.Load()) > max(since, t.handedAt) {
			return true
		}
	}
	return false
}

// down stops new work; attempts in progress go on until they fail themselves.
func (a *Agent) down() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notReady(zerolog.WarnLevel, "upstream does not answer probes")
}

// notReady stops new work. Needs mu.
func (a *Agent) notReady(level zerolog.Level, why string) {
	if !a.snap.Ready {
		return
	}
	a.snap.Ready = false
	a.refuseQueued(admission.ReasonUpstreamDown)
	a.cfg.Logger.WithLevel(level).Str("agent", a.cfg.ID).Msg(why)
	a.notify()
}

// noteUpstreamError reacts to the end of one attempt's call.
func (a *Agent) noteUpstreamError(t *task, err error) {
	// A call that this side cancelled says nothing about the upstream.
	if t.ctx.Err() != nil {
		return
	}
	if errors.Is(err, upstream.ErrCrashed) {
		a.connectionBroke(t)
	}
	if errors.Is(err, upstream.ErrCrashed) || errors.Is(err, upstream.ErrNotSent) || errors.Is(err, upstream.ErrTruncated) {
		signal(a.probeNow)
	}
}

// connectionBroke judges a broken connection. Engines hold their streams open
// until the end, so it means a crash. A plain service may close one connection
// alone; it has crashed when the next probe finds that it refuses connections.
func (a *Agent) connectionBroke(t *task) {
	a.mu.Lock()
	epoch := t.epoch
	if a.cfg.Kind == contract.KindPlain {
		if t.req.Fingerprint != 0 && epoch == a.epoch {
			a.broken = append(a.broken, t.req.Fingerprint)
		}
		a.mu.Unlock()
		return
	}
	a.mu.Unlock()
	a.crashed(epoch, "an attempt's connection ended")
}

// crashed ends every attempt that the upstream may have had and records their
// fingerprints as suspects. epoch is the number of crashes noticed when the
// evidence arose, so that one crash with many broken streams is one crash.
func (a *Agent) crashed(epoch uint64, why string) {
	a.mu.Lock()
	if epoch != a.epoch {
		a.mu.Unlock()
		return
	}
	fingerprints := a.broken
	a.broken = nil
	for _, q := range a.snap.Running {
		t := a.running[q]
		if t.handed && !t.crashed && t.req.Fingerprint != 0 {
			fingerprints = append(fingerprints, t.req.Fingerprint)
		}
		t.crashed = true // its call may take a while to return
		a.end(q, errCrashed)
	}
	if !a.snap.Ready && len(fingerprints) == 0 {
		a.mu.Unlock()
		return // still the same outage
	}
	a.epoch++
	a.snap.Ready = false
	a.refuseQueued(admission.ReasonUpstreamDown)
	a.mu.Unlock()
	if len(fingerprints) > 0 {
		a.cfg.Suspects.RecordCrash(rand.Uint64(), fingerprints, time.Now())
	}
	a.cfg.Logger.Error().Str("agent", a.cfg.ID).Str("evidence", why).
		Int("in_progress", len(fingerprints)).Msg("upstream crashed")
	a.notify()
}

// watchLoop ends silent attempts, drops late ones from the queue and frees
// slots whose upstream call hangs.
func (a *Agent) watchLoop(ctx context.Context) error {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			a.watch()
		}
	}
}

func (a *Agent) watch() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	var stuck []*task
	for _, t := range a.running {
		quiet := now - time.Duration(t.progress.Load())
		switch {
		case t.seq.Cancelled && now-t.endedAt > letGoTimeout:
			stuck = append(stuck, t)
		case t.handed && !t.seq.Cancelled && quiet > a.cfg.ProgressTimeout:
			a.end(t.seq, errSilent)
			signal(a.probeNow)
		}
	}
	for _, t := range stuck {
		a.releaseLocked(t)
	}
	a.dispatch(now)
	if a.meter.samples >= relieveSamples {
		if q := admission.PreemptForInterval(&a.snap); q != nil {
			a.end(q, errPreempted)
		}
	}
}
