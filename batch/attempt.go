package batch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/event"
	"github.com/magnoliausher/magnoliausher/forward"
	"github.com/magnoliausher/magnoliausher/metric"
)

const (
	// failurePause is the first pause of an item after a failed attempt; it
	// doubles with each one.
	failurePause    = 100 * time.Millisecond
	failurePauseMax = 3 * time.Second
	// blockedPause is the time between attempts of an item that has crashed
	// engines. Nothing but an answer or its retention ends an item, so it is
	// never left alone for good; an engine needs some seconds after a crash.
	blockedPause = 12 * time.Second
)

// runItem makes one attempt of an item.
func (s *Service) runItem(r *running, w *work, grant *dispatch.Grant) {
	defer r.active.Done()
	item := &r.submission.Items[w.index]
	fingerprint := xxhash.Sum64String(r.submission.ID + "\x00" + item.ID)
	if rest := blockedPause - time.Since(w.attempted); rest > 0 && s.cfg.Suspects.Blocked(fingerprint) {
		grant.Release(dispatch.Cancelled)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.wait(w, rest)
		return
	}
	w.attempted = time.Now()
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	go func() {
		select {
		case <-grant.Preempted():
			cancel()
		case <-ctx.Done():
		}
	}()
	started, had := time.Now(), w.events()
	outcome, end := s.attempt(ctx, r, w, grant)
	preempted := isClosed(grant.Preempted())
	if outcome == dispatch.Broken && ctx.Err() != nil {
		outcome = dispatch.Cancelled
	}
	grant.Release(outcome)
	if preempted {
		metric.Preempted(grant.Upstream.Service)
	}
	s.cfg.Log.Info().Str("request", item.ID).Str("job", r.submission.ID).Str("upstream", grant.Upstream.ID).
		Int("from_event", had).Int("events", w.events()).Bool("preempted", preempted).Str("outcome", end).
		Int64("ms", time.Since(started).Milliseconds()).Msg("item attempt")
	s.settle(r, w, grant, ending{outcome: outcome, end: end, had: had, took: time.Since(started)}, fingerprint)
}

// ending is how an attempt ended.
type ending struct {
	outcome dispatch.Outcome
	end     string
	had     int // events before the attempt
	took    time.Duration
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Ends of an attempt.
const (
	endDone       = "done"
	endImpossible = "impossible" // 422
	endFailed     = "failed"     // 500
	endNotRun     = "not_run"
	endNotSent    = "not_sent"
	endBroken     = "broken"
)

// attempt sends an item and collects its events.
func (s *Service) attempt(ctx context.Context, r *running, w *work, grant *dispatch.Grant) (dispatch.Outcome, string) {
	item := &r.submission.Items[w.index]
	header := make(http.Header, len(item.Header))
	for name, value := range item.Header {
		header.Set(name, value)
	}
	answer, err := forward.CallWithHeaderTimeout(ctx, s.cfg.Upstreams, grant.Upstream, &forward.Call{
		ID: item.ID, Host: r.submission.Host, Method: http.MethodPost, Target: item.Target,
		Header: header, Body: item.Body, ResumeAfter: w.lastID()}, forward.ResponseHeaderTimeout)
	if errors.Is(err, forward.ErrNotSent) {
		return dispatch.ConnectFailed, endNotSent
	}
	if err != nil {
		return dispatch.Broken, endBroken
	}
	defer answer.Body.Close()
	switch {
	case answer.NotExecuted:
		return dispatch.Full, endNotRun
	case answer.Status == http.StatusUnprocessableEntity:
		return dispatch.Cancelled, endImpossible
	case answer.Status >= 500:
		return dispatch.Cancelled, endFailed
	case answer.Status != http.StatusOK || !answer.Signed || !answer.EventStream:
		return dispatch.Broken, endBroken + " status " + strconv.Itoa(answer.Status)
	}
	return s.collect(w, grant, answer)
}

func (s *Service) collect(w *work, grant *dispatch.Grant, answer *forward.Response) (dispatch.Outcome, string) {
	events := event.NewIdleTimeoutReader(answer.Body, forward.StreamIdleTimeout)
	defer events.Stop()
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.Raw)) == 0 {
			return dispatch.Served, endDone
		}
		if err != nil {
			return dispatch.Broken, endBroken
		}
		grant.Progress()
		if e.Data == nil {
			continue
		}
		w.add(e.ID, e.Data)
	}
}

// settle decides what becomes of an item after an attempt.
func (s *Service) settle(r *running, w *work, grant *dispatch.Grant, e ending, fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, _ := w.snapshot()
	s.pace.attempted(e.took, all.Events-e.had)
	switch e.end {
	case endDone:
		s.pace.done(all.Events)
		s.finish(r, w, Result{Output: string(all.Output)}, e.end)
		return
	case endImpossible:
		s.finish(r, w, Result{Abandoned: true}, e.end)
		return
	case endFailed:
		w.failures++
		if route := s.route(r, w); route != nil && w.failures >= route.MaxAttempts {
			s.finish(r, w, Result{Abandoned: true}, e.end)
			return
		}
		s.wait(w, min(failurePause<<w.failures, failurePauseMax))
		return
	}
	if e.outcome == dispatch.Broken && all.Events == e.had {
		w.broken++
		s.cfg.Suspects.RecordCrash(grant.Upstream, fingerprint)
		s.wait(w, min(failurePause<<min(w.broken, 5), failurePauseMax))
		return
	}
	w.broken = 0
	s.wait(w, 0)
}

// wait puts an item back. The caller holds the lock.
func (s *Service) wait(w *work, pause time.Duration) {
	w.state = itemWaiting
	w.notBefore = time.Now().Add(pause)
	s.signal()
}
