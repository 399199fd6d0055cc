package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/event"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/memory"
	"github.com/magnoliausher/magnoliausher/metric"
	"github.com/magnoliausher/magnoliausher/poison"
)

// forwardBuffered reads a response, up to maxBufferedBytes, before it passes any
// of it on to the caller.
func (x *exchange) forwardBuffered(grant *dispatch.Grant, started time.Time, response *Response) error {
	share := x.cfg.Memory.Share()
	defer share.Release()
	body, whole, err := readStart(response.Body, share)
	if err == nil && endsWithoutBody(response, body, whole) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return x.failAttempt(grant, started, failure{reason: "cut: " + err.Error(), err: err})
	}
	grant.Progress()
	if response.Status/100 != 2 {
		grant.Unmeasured()
	}
	if response.Status >= 500 && x.canMove() && x.ctx.Err() == nil {
		return x.failAttempt(grant, started, failure{reason: "status " + strconv.Itoa(response.Status), whole: whole})
	}
	x.recordFirstByte()
	if whole {
		err = x.reply.whole(response.Status, response.Header, body)
	} else {
		err = x.reply.bodyStart(response.Status, response.Header, body)
	}
	if err != nil {
		grant.Release(dispatch.Cancelled)
		x.recordAttempt(grant, started, err.Error())
		return x.abortResponse("caller_gone")
	}
	if !whole {
		share.Release()
		if b, ok := response.Body.(*startedBody); ok {
			b.releaseStart()
		}
		if fromUpstream, err := x.copyRest(response, maxBodyBytes-len(body)); fromUpstream {
			return x.failAttempt(grant, started, failure{reason: "cut: " + err.Error(), err: err, outputs: poison.SoundOutputs})
		} else if err != nil {
			grant.Release(dispatch.Cancelled)
			x.recordAttempt(grant, started, err.Error())
			return x.abortResponse("caller_gone")
		}
		x.reply.complete()
	}
	if response.Status/100 == 2 {
		x.cfg.CrashTracker.RecordSound(&x.Subject, true)
	}
	grant.Release(outcomeForStatus(response.Status))
	x.recordAttempt(grant, started, "served")
	x.logRequest(response.Status, "served")
	return errDone
}

// endsWithoutBody reports whether the upstream may have stopped after the header of a
// response.
func endsWithoutBody(response *Response, body []byte, whole bool) bool {
	return whole && len(body) == 0 && response.Status/100 == 2 && response.EndsWithConnection
}

// errBodyTooLong is returned for a response body over maxBodyBytes.
var errBodyTooLong = errors.New("response body exceeds the maximum size")

// readStart reads a body until its end, up to maxBufferedBytes, or for as long as there
// is memory. It reports whether that is the whole body.
func readStart(body io.Reader, share *memory.Share) (start []byte, whole bool, err error) {
	if b, ok := body.(*startedBody); ok {
		return b.start, b.whole, b.err
	}
	const step = 16 << 10
	for len(start) <= maxBufferedBytes && share.Resize(2*(len(start)+step)) == nil { // the slice and its copy as it grows
		start = slices.Grow(start, step)
		n, err := body.Read(start[len(start):cap(start)])
		start = start[:len(start)+n]
		switch {
		case errors.Is(err, io.EOF):
			return start, true, nil
		case err != nil:
			return nil, false, err
		}
	}
	return start, false, nil
}

// copyRest passes on what follows the buffered part of a response, up to limit bytes. It
// tells errors of the upstream from those of the caller.
func (x *exchange) copyRest(response *Response, limit int) (fromUpstream bool, err error) {
	source := &errorRecordingReader{Reader: io.LimitReader(response.Body, int64(limit))}
	n, err := x.reply.copyBody(source)
	if err == nil && n == int64(limit) {
		return true, errBodyTooLong
	}
	return source.err != nil, err
}

// errorRecordingReader keeps the error of the last read, other than io.EOF.
type errorRecordingReader struct {
	io.Reader
	err error
}

func (r *errorRecordingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

// outcomeForStatus returns the dispatch outcome of a complete response. Status 504
// does not count against the upstream, as the request's own deadline may have
// caused it.
func outcomeForStatus(status int) dispatch.Outcome {
	if status >= 500 && status != http.StatusGatewayTimeout {
		return dispatch.Broken
	}
	return dispatch.Served
}

// errOutOfOrder is returned for an event that does not come after the last one, such
// as the first one of a second copy of the answer.
var errOutOfOrder = errors.New("event out of order")

// forwardStream passes events on to the caller as they arrive. Only a stream that
// can go on elsewhere, and has a slot there, is given up for its upstream's silence;
// the last attempt has until the deadline.
func (x *exchange) forwardStream(grant *dispatch.Grant, started time.Time, response *Response) error {
	x.silence.progress(x)
	events := event.NewIdleTimeoutReader(response.Body, defaultTimeout)
	defer events.Stop()
	events.Account(x.cfg.Memory.Share())
	for {
		e, err := events.Next()
		switch {
		case err == nil && !event.Follows(x.reply.lastEventID, e.ID):
			err = errOutOfOrder
		case errors.Is(err, io.EOF) && x.endsEarly(response, &e):
			err = io.ErrUnexpectedEOF
		}
		if err != nil && !errors.Is(err, io.EOF) {
			if x.silence.gaveUp() {
				err = event.ErrIdle
			}
			return x.failAttempt(grant, started, failure{reason: "cut: " + err.Error(), err: err, outputs: x.attemptEvents})
		}
		if !e.Empty() {
			grant.Progress()
			x.attemptEvents++
		}
		if ended := err != nil; ended || x.attemptEvents == poison.SoundOutputs && !e.Empty() {
			x.cfg.CrashTracker.RecordSound(&x.Subject, ended)
		}
		began := time.Now()
		writeErr := x.writeEvent(grant.Upstream, response, e)
		grant.Delivered(time.Since(began))
		if writeErr != nil {
			grant.Release(dispatch.Cancelled)
			x.recordAttempt(grant, started, writeErr.Error())
			return x.abortResponse("caller_gone")
		}
		if !e.Empty() {
			x.silence.progress(x)
		}
		if err != nil {
			x.reply.complete()
			if x.hasOrigin() {
				x.cfg.Origins.Ended(x.Service, x.streamID())
			}
			grant.Release(dispatch.Served)
			x.recordAttempt(grant, started, "served")
			x.logRequest(response.Status, "served")
			return errDone
		}
	}
}

// endsEarly reports whether a stream whose last bytes are rest was broken off: in the
// middle of an event, or, where nothing but the end of the connection marks its end,
// before the first one, also of a stream that goes on after an event.
func (x *exchange) endsEarly(response *Response, rest *event.Event) bool {
	if len(bytes.TrimSpace(rest.Raw)) > 0 {
		return true
	}
	return response.EndsWithConnection && x.attemptEvents == 0
}

// writeEvent writes one event to the caller, preceded by the response header if
// it has not been sent.
func (x *exchange) writeEvent(u *fleet.Upstream, response *Response, e event.Event) error {
	if !x.reply.begun() {
		x.recordOrigin(u)
		x.recordFirstByte()
		metric.FirstToken(x.Service, classOnline, x.timeToFirstByte.Seconds())
	}
	return x.reply.event(response, e)
}

func (x *exchange) recordFirstByte() { x.timeToFirstByte = time.Since(x.Arrived) }

// rejectUnexecuted responds with 503 to a request that was not executed and will
// not be.
func (x *exchange) rejectUnexecuted(reason string, retryAfter time.Duration) {
	x.writeErrorWithHeader(http.StatusServiceUnavailable, reason,
		http.Header{"Retry-After": {strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}})
	metric.Refused("gateway", x.Service, classOnline, reason)
}

// writeError responds with a status generated by the gateway.
func (x *exchange) writeError(status int, reason string) {
	x.writeErrorWithHeader(status, reason, make(http.Header))
}

func (x *exchange) writeErrorWithHeader(status int, reason string, header http.Header) {
	status = x.outcome().Status(status)
	x.logRequest(status, reason)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if err := x.reply.whole(status, header, []byte(http.StatusText(status)+"\n")); err != nil {
		x.cfg.Log.Debug().Err(err).Str("request", x.ID).Msg("failed to send an error response")
	}
}

// abortResponse closes the caller's connection so that the response does not
// appear complete. It logs status 0, which stands for no complete response. It always
// panics with http.ErrAbortHandler; the error result lets callers end with
// "return x.abortResponse(...)".
func (x *exchange) abortResponse(reason string) error {
	x.logRequest(0, reason)
	panic(http.ErrAbortHandler)
}

// recordAttempt adds one attempt to the request's log line.
func (x *exchange) recordAttempt(grant *dispatch.Grant, started time.Time, outcome string) {
	if grant == x.hedgeGrant {
		outcome = "hedge: " + outcome
	}
	x.attemptLog.Str(grant.Upstream.ID + " " + strconv.FormatInt(started.Sub(x.Arrived).Milliseconds(), 10) + "+" +
		strconv.FormatInt(time.Since(started).Milliseconds(), 10) + "ms " + outcome)
}

// logRequest writes the request's log line and metrics.
func (x *exchange) logRequest(status int, outcome string) {
	if x.callerGone() && outcome != "served" {
		outcome = "caller_gone: " + outcome
	}
	metric.Answered(x.Service, classOnline, status, time.Since(x.Arrived).Seconds())
	line := x.cfg.Log.Info().Str("request", x.ID).Str("route", x.Route.Name).Str("service", x.Service).
		Uint64("configuration", x.ConfigVersion).Uint64("list", x.UpstreamListVersion).Int("status", status).Str("outcome", outcome).
		Int("may_have_run", x.possibleRuns).Int("events", x.reply.events).Int64("first_ms", x.timeToFirstByte.Milliseconds()).
		Int64("total_ms", time.Since(x.Arrived).Milliseconds()).Array("attempts", x.attemptLog)
	if x.version != nil {
		line = line.Str("software_version", *x.version)
	}
	if x.Resumes != "" {
		line = line.Str("resumes", x.Resumes).Str("after_event", x.ResumeAfter)
	}
	if x.Organisation != nil {
		line = line.Str("organisation", *x.Organisation)
	}
	if x.wait != nil {
		line = line.Int64("waited_ms", x.waited.Milliseconds()).Int("waiting_before", x.wait.Ahead).
			Int("free_slots", x.wait.FreeSlots).Int64("report_age_ms", x.wait.ReportAge.Milliseconds())
	}
	line.Msg("request")
}
