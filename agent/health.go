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
	"github.com/magnoliausher/magnoliausher/poison"
	"github.com/magnoliausher/magnoliausher/upstream"
)

const (
	// downProbeInterval replaces the probe interval while probes fail.
	downProbeInterval = 100 * time.Millisecond
	// probeFailures is the number of consecutive failed probes after which the
	// upstream counts as down, so that one lost packet does not stop work.
	probeFailures = 2
	watchInterval = 100 * time.Millisecond
	// cancelReturnTimeout is how long a cancelled upstream call may take to return
	// before its slot is freed.
	cancelReturnTimeout = time.Second
)

// probeLoop probes the upstream and updates its state.
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
			a.recordProbeSuccess(boot, load.Loading)
			a.updateSlots(load.Slots)
		} else {
			failures++
			a.recordProbeFailure(err, failures, failedAt)
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

// recordProbeSuccess updates the state after a successful probe. An engine that is
// loading a model, perhaps on an order of an earlier agent, refuses work and is
// not ready.
func (a *Agent) recordProbeSuccess(bootID string, loading bool) {
	a.mu.Lock()
	changed := a.probed && bootID != a.bootID
	undetected := changed && a.snap.Ready
	crashCount := a.crashCount
	a.mu.Unlock()
	if undetected {
		a.handleCrash(crashCount, "boot id changed")
	}
	if changed {
		a.cache.reset()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bootID = bootID
	a.probed = true
	a.brokenCalls = nil
	if loading {
		a.markNotReady(zerolog.InfoLevel, "upstream is loading a model")
		return
	}
	if !a.snap.Ready && !a.drainedForOrder {
		a.snap.Ready = true
		a.cfg.Logger.Info().Str("agent", a.cfg.ID).Str("boot_id", bootID).Msg("upstream is ready")
		a.notify()
	}
}

// readLoad returns the engine's load report, or the zero value if it is
// unavailable.
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

// updateSlots adopts the slot count that an engine reports, up to the configured
// one. An engine may run fewer sequences, for example after a change of its role.
func (a *Agent) updateSlots(reported int) {
	if reported <= 0 {
		return // an engine need not report its slots
	}
	slots := min(a.cfg.Slots, reported)
	a.mu.Lock()
	defer a.mu.Unlock()
	if slots == a.snap.Slots {
		return
	}
	a.cfg.Logger.Info().Str("agent", a.cfg.ID).Int("slots", slots).Msg("engine reported a different number of slots")
	a.snap.Slots = slots
	a.dispatch(a.now())
	a.notify()
}

func (a *Agent) recordProbeFailure(err error, failures int, since time.Duration) {
	a.mu.Lock()
	crashCount := a.crashCount
	broken := len(a.brokenCalls) > 0
	if failures >= probeFailures {
		since -= downProbeInterval
	}
	progress := a.progressSince(since)
	a.mu.Unlock()
	if failures < probeFailures && !broken {
		return
	}
	if refusesConnections(err) && !progress {
		a.handleCrash(crashCount, "upstream refuses connections")
		return
	}
	if failures >= probeFailures {
		a.markDown()
	}
}

// refusesConnections reports whether a probe's error means that the process does
// not exist, as opposed to one that does not respond.
func refusesConnections(err error) bool {
	var timeout net.Error
	if errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	return errors.Is(err, upstream.ErrCrashed) || errors.Is(err, upstream.ErrNotSent)
}

// progressSince reports whether any running attempt has produced output after the
// given time. It requires a.mu.
func (a *Agent) progressSince(since time.Duration) bool {
	for _, t := range a.running {
		if t.sent && time.Duration(t.progress.Load()) > max(since, t.sentAt) {
			return true
		}
	}
	return false
}

// markDown stops new work. Running attempts continue until they fail on their own.
func (a *Agent) markDown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.markNotReady(zerolog.WarnLevel, "upstream does not respond to health probes")
}

// markNotReady stops new work and refuses queued attempts. It requires a.mu.
func (a *Agent) markNotReady(level zerolog.Level, message string) {
	if !a.snap.Ready {
		return
	}
	a.snap.Ready = false
	a.refuseQueued(admission.ReasonUpstreamDown)
	a.cfg.Logger.WithLevel(level).Str("agent", a.cfg.ID).Msg(message)
	a.notify()
}

// handleUpstreamError updates the upstream's state after an attempt's call failed.
func (a *Agent) handleUpstreamError(t *task, err error) {
	// An error after a cancellation by the agent is no evidence of a fault.
	if t.ctx.Err() != nil {
		return
	}
	if errors.Is(err, upstream.ErrCrashed) {
		a.handleBrokenConnection(t)
	}
	if errors.Is(err, upstream.ErrCrashed) || errors.Is(err, upstream.ErrNotSent) || errors.Is(err, upstream.ErrTruncated) {
		signal(a.probeNow)
	}
}

// handleBrokenConnection handles a broken connection. Engines keep a stream open
// until its end, so a broken one means a crash. A plain service may close a single
// connection; it counts as crashed if the next probe's connection is refused.
func (a *Agent) handleBrokenConnection(t *task) {
	a.mu.Lock()
	crashCount := t.crashCount
	if a.cfg.Kind == contract.KindPlain {
		if t.req.Fingerprint != 0 && crashCount == a.crashCount {
			a.brokenCalls = append(a.brokenCalls, t.req.Fingerprint)
		}
		a.mu.Unlock()
		return
	}
	a.mu.Unlock()
	a.handleCrash(crashCount, "an attempt's connection ended")
}

// handleCrash cancels all running attempts and records the fingerprints of those
// that the upstream may have received as suspects. crashCount is the number of
// crashes detected when the evidence arose, so that many broken streams of one
// crash count once.
func (a *Agent) handleCrash(crashCount uint64, evidence string) {
	a.mu.Lock()
	if crashCount != a.crashCount {
		a.mu.Unlock()
		return
	}
	fingerprints := a.brokenCalls
	a.brokenCalls = nil
	for _, q := range a.snap.Running {
		t := a.running[q]
		if t.sent && !t.crashed {
			fingerprints = append(fingerprints, t.suspects()...)
		}
		t.crashed = true // the call may return later
		a.cancelSequence(q, errCrashed)
	}
	if !a.snap.Ready && len(fingerprints) == 0 {
		a.mu.Unlock()
		return // part of the outage already recorded
	}
	a.crashCount++
	a.snap.Ready = false
	a.refuseQueued(admission.ReasonUpstreamDown)
	a.mu.Unlock()
	if len(fingerprints) > 0 {
		a.cfg.Suspects.RecordCrash(rand.Uint64(), fingerprints, time.Now())
	}
	a.cfg.Logger.Error().Str("agent", a.cfg.ID).Str("evidence", evidence).
		Int("in_progress", len(fingerprints)).Msg("upstream crashed")
	a.notify()
}

// suspects returns the fingerprints that may have caused a crash during the attempt: of
// the request, and of the parts of its prompt if the answer had hardly begun.
func (t *task) suspects() []uint64 {
	var list []uint64
	if t.req.Fingerprint != 0 {
		list = append(list, t.req.Fingerprint)
	}
	if t.class == contract.ClassOnline && t.outputs.Load() <= poison.SuspectOutputs {
		list = append(list, t.req.Parts...)
	}
	return list
}

// watchLoop cancels attempts without progress, removes queued ones that cannot
// meet their deadline and frees slots whose upstream call hangs.
func (a *Agent) watchLoop(ctx context.Context) error {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			a.checkAttempts()
		}
	}
}

func (a *Agent) checkAttempts() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	var hung []*task
	for _, t := range a.running {
		sinceProgress := now - time.Duration(t.progress.Load())
		switch {
		case t.seq.Cancelled && now-t.endedAt > cancelReturnTimeout:
			hung = append(hung, t)
		case t.sent && !t.seq.Cancelled && sinceProgress > a.cfg.ProgressTimeout:
			a.cancelSequence(t.seq, errNoProgress)
			signal(a.probeNow)
		}
	}
	for _, t := range hung {
		a.releaseLocked(t)
	}
	a.dispatch(now)
	if a.sampler.samples >= minReliefSamples {
		if q := admission.PreemptForInterval(&a.snap); q != nil {
			a.cancelSequence(q, errPreempted)
		}
	}
}
