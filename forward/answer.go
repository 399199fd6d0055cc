package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/event"
	"github.com/magnoliausher/magnoliausher/metric"
)

// whole reads an answer to its end before the caller sees any of it.
func (x *exchange) whole(grant *dispatch.Grant, started time.Time, answer *Response) error {
	held, err := io.ReadAll(io.LimitReader(answer.Body, maxHeld+1))
	if err != nil {
		return x.spoilt(grant, started, "cut: "+err.Error())
	}
	grant.Progress()
	if answer.Status >= 500 && x.Route.Repeatable() && x.runs < x.Route.MaxAttempts && x.ctx.Err() == nil {
		return x.spoilt(grant, started, "status "+strconv.Itoa(answer.Status))
	}
	x.head(answer)
	if len(held) <= maxHeld {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(held)))
	}
	x.w.WriteHeader(answer.Status)
	_, err = x.w.Write(held)
	if err == nil && len(held) > maxHeld {
		_, err = io.Copy(x.w, answer.Body)
	}
	if err != nil {
		grant.Release(dispatch.Cancelled)
		x.step(grant, started, err.Error())
		return x.breakOff("copy")
	}
	grant.Release(evidenceOf(answer.Status))
	x.step(grant, started, "served")
	x.log(answer.Status, "served")
	return errDone
}

// evidenceOf returns what a whole answer tells of its upstream. A timeout may be
// the request's own.
func evidenceOf(status int) dispatch.Outcome {
	if status >= 500 && status != http.StatusGatewayTimeout {
		return dispatch.Broken
	}
	return dispatch.Served
}

// spoilt ends an attempt whose answer cannot be used.
func (x *exchange) spoilt(grant *dispatch.Grant, started time.Time, reason string) error {
	if x.ctx.Err() != nil {
		grant.Release(dispatch.Cancelled)
		x.step(grant, started, reason)
		return x.timeUp()
	}
	grant.Release(dispatch.Broken)
	x.tried[grant.Upstream.ID] = true
	x.step(grant, started, reason)
	return x.again(false, reason)
}

// stream passes events on as they come.
func (x *exchange) stream(grant *dispatch.Grant, started time.Time, answer *Response) error {
	silence := noDeadline
	if x.Route.Resumable {
		silence = StreamIdleTimeout
	}
	events := event.NewIdleTimeoutReader(answer.Body, silence)
	defer events.Stop()
	for {
		e, err := events.Next()
		if err != nil && !errors.Is(err, io.EOF) {
			return x.cut(grant, started, err)
		}
		grant.Progress()
		if writeErr := x.pass(answer, e); writeErr != nil {
			grant.Release(dispatch.Cancelled)
			x.step(grant, started, writeErr.Error())
			return x.breakOff("caller_gone")
		}
		if err != nil {
			grant.Release(dispatch.Served)
			x.step(grant, started, "served")
			x.log(answer.Status, "served")
			return errDone
		}
	}
}

// pass writes one event to the caller.
func (x *exchange) pass(answer *Response, e event.Event) error {
	if !x.headSent {
		x.head(answer)
		x.w.Header().Del("Content-Length") // a resumed stream may differ in length
		x.w.WriteHeader(answer.Status)
		x.headSent = true
		metric.FirstToken(x.Service, x.Route.Name, x.first.Seconds())
	}
	if len(e.Raw) == 0 {
		return nil
	}
	if _, err := x.w.Write(e.Raw); err != nil {
		return err
	}
	if e.ID != "" {
		x.lastID = e.ID
	}
	x.events++
	return http.NewResponseController(x.w).Flush()
}

// cut handles a stream that its upstream did not finish.
func (x *exchange) cut(grant *dispatch.Grant, started time.Time, err error) error {
	if x.ctx.Err() == nil {
		x.cfg.CrashTracker.RecordCrash(grant.Upstream, x.Fingerprint)
	}
	return x.spoilt(grant, started, "cut: "+err.Error())
}

// head copies the fields of an answer.
func (x *exchange) head(answer *Response) {
	header := x.w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if answer.Header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // net/http would guess one
	}
	x.first = time.Since(x.Arrived)
}

// reject answers a request that has not run and never will.
func (x *exchange) reject(reason string) {
	after := x.cfg.Dispatcher.RetryAfter(x.Service)
	x.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	x.fail(http.StatusServiceUnavailable, reason)
	metric.Refused("gateway", x.Service, x.Route.Name, reason)
}

// fail answers with a status of our own.
func (x *exchange) fail(status int, reason string) {
	x.log(status, reason)
	body := []byte(http.StatusText(status) + "\n")
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	_, _ = io.Copy(x.w, bytes.NewReader(body)) // the caller may have gone, which the log line tells
}

// breakOff closes the caller's connection so that the answer does not look complete.
func (x *exchange) breakOff(reason string) error {
	x.log(0, reason)
	panic(http.ErrAbortHandler)
}

// step notes one attempt for the log line of the request.
func (x *exchange) step(grant *dispatch.Grant, started time.Time, outcome string) {
	x.stepLog.Str(grant.Upstream.ID + " " + strconv.FormatInt(started.Sub(x.Arrived).Milliseconds(), 10) + "+" +
		strconv.FormatInt(time.Since(started).Milliseconds(), 10) + "ms " + outcome)
}

// log writes the one line of the request.
func (x *exchange) log(status int, outcome string) {
	if errors.Is(x.ctx.Err(), context.Canceled) && outcome != "served" {
		outcome = "caller_gone: " + outcome
	}
	metric.Answered(x.Service, x.Route.Name, status, time.Since(x.Arrived).Seconds())
	x.cfg.Log.Info().Str("request", x.ID).Str("route", x.Route.Name).Str("service", x.Service).
		Uint64("configuration", x.ConfigVersion).Uint64("list", x.UpstreamListVersion).Int("status", status).Str("outcome", outcome).
		Int("may_have_run", x.runs).Int("events", x.events).Int64("first_ms", x.first.Milliseconds()).
		Int64("total_ms", time.Since(x.Arrived).Milliseconds()).Array("attempts", x.stepLog).Msg("request")
}
