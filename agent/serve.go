package agent

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/metric"
	"github.com/magnoliausher/magnoliausher/poison"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1/magnoliausherv1connect"
	"github.com/magnoliausher/magnoliausher/upstream"
)

const (
	// reportInterval is the minimum time between load reports on one stream.
	reportInterval = 500 * time.Millisecond
	// plainChunkBytes is the maximum size of a plain service's body data in one
	// event.
	plainChunkBytes = 32 << 10
)

// EntryHeader is the header with the ID of the entry that runs an attempt, for its
// grants and load reports.
const EntryHeader = "Magnoliausher-Entry"

// attemptHeader is the header with the attempt ID in calls to a plain service,
// which can log it and use it to detect repeated calls.
const attemptHeader = "X-Attempt-Id"

type responseControllerKey struct{}

// Handler serves the RPCs of the agent, /healthz, /readyz and /metrics. The
// server must speak HTTP/2.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	// Clients accept gzip by default, but compressing events of a few bytes each
	// costs more than the rest of their processing.
	uncompressed := connect.WithCompressMinBytes(math.MaxInt)
	path, h := magnoliausherv1connect.NewAgentHandler(agentService{a}, uncompressed)
	mux.Handle(path, withController(h))
	if a.control != nil {
		mux.Handle(magnoliausherv1connect.NewPeerHandler(a.control, uncompressed))
	}
	mux.Handle("/metrics", metric.Handler())
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		a.mu.Lock()
		ready := a.snap.Ready && !a.snap.Leaving
		a.mu.Unlock()
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// withController gives the Run handler access to the write deadline of its
// stream, so that a stalled reader cannot keep it open.
func withController(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), responseControllerKey{}, http.NewResponseController(w))
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}

type agentService struct{ a *Agent }

// Control passes the stream to the agent's Control.
func (s agentService) Control(ctx context.Context, stream *connect.BidiStream[rpc.ControlMessage, rpc.ControlMessage]) error {
	if s.a.control == nil {
		return connect.NewError(connect.CodeUnimplemented, errors.New("agent has no control side"))
	}
	return s.a.control.Control(ctx, stream)
}

// Run performs one attempt.
func (s agentService) Run(ctx context.Context, req *connect.Request[rpc.RunRequest], stream *connect.ServerStream[rpc.RunEvent]) error {
	return s.a.serve(ctx, req.Header().Get(EntryHeader), req.Msg, stream.Send)
}

// serve performs one attempt and passes its events to send, in order. entryID is
// empty if the entry is unknown.
func (a *Agent) serve(ctx context.Context, entryID string, req *rpc.RunRequest, send func(*rpc.RunEvent) error) error {
	t := a.newTask(ctx, entryID, req)
	defer t.cancel(errEntryGone)
	reason := a.decide(t)
	if reason == admission.ReasonNone {
		reason = a.awaitSlot(t)
	}
	if reason != admission.ReasonNone {
		return a.sendRefusal(t, reason, send)
	}
	go a.runTask(t)
	return a.forward(ctx, t, send)
}

func (a *Agent) sendRefusal(t *task, r admission.Reason, send func(*rpc.RunEvent) error) error {
	metric.Refused("agent", a.cfg.Service, string(t.class), string(r))
	e := t.refusedEvent(r)
	e.Load = a.loadSummary()
	return send(e)
}

// awaitSlot waits for a slot. It returns ReasonNone when one is reserved.
func (a *Agent) awaitSlot(t *task) admission.Reason {
	select {
	case r := <-t.decision:
		return r
	default:
	}
	select {
	case r := <-t.decision:
		return r
	case <-t.ctx.Done():
		if a.withdraw(t) {
			return admission.ReasonDeadline // delivered only if the entry is still connected
		}
		return <-t.decision
	}
}

// forward sends the attempt's events until the last one.
func (a *Agent) forward(ctx context.Context, t *task, send func(*rpc.RunEvent) error) error {
	stopLimit := a.limitBlockedSend(ctx, t)
	defer stopLimit()
	nextLoad := a.piggybackLoads(t.entryID)
	for {
		select {
		case <-t.out.ready:
		case <-ctx.Done():
			t.cancel(errEntryGone)
			return ctx.Err()
		}
		events, done := t.out.take()
		for _, e := range events {
			e.Load = nextLoad()
			if err := send(e); err != nil {
				t.cancel(errEntryGone)
				return err
			}
		}
		if done {
			return nil
		}
	}
}

// piggybackLoads returns a function that returns the load report for the next
// event of one stream, or nil when none is due.
func (a *Agent) piggybackLoads(entryID string) func() *rpc.LoadReport {
	if r, ok := a.control.(piggybackLoader); ok && entryID != "" {
		return func() *rpc.LoadReport { return r.PiggybackLoad(entryID) }
	}
	due := time.Duration(0)
	return func() *rpc.LoadReport {
		now := a.now()
		if now < due {
			return nil
		}
		due = now + reportInterval
		return a.loadSummary()
	}
}

// limitBlockedSend sets a write deadline once the attempt is cancelled for its
// slow reader, because a send could block forever if the reader has stalled. stop
// must be called before the handler returns, because the response must not be
// accessed after that.
func (a *Agent) limitBlockedSend(ctx context.Context, t *task) (stop func()) {
	rc, ok := ctx.Value(responseControllerKey{}).(*http.ResponseController)
	if !ok {
		return func() {}
	}
	var mu sync.Mutex
	returned := false
	cancel := context.AfterFunc(t.ctx, func() {
		mu.Lock()
		defer mu.Unlock()
		if !returned && errors.Is(context.Cause(t.ctx), errSlowReader) {
			_ = rc.SetWriteDeadline(time.Now().Add(a.cfg.SlowReaderTimeout)) // cannot fail: every HTTP/2 response supports deadlines
		}
	})
	return func() {
		cancel()
		mu.Lock()
		defer mu.Unlock()
		returned = true
	}
}

// runTask sends the attempt to the upstream, buffers its output and frees its
// slot.
func (a *Agent) runTask(t *task) {
	last := a.execute(t)
	a.release(t)
	t.out.close(last)
}

// execute runs the attempt at the upstream and returns its last event.
func (a *Agent) execute(t *task) *rpc.RunEvent {
	if t.ctx.Err() != nil {
		return t.endBeforeSend(context.Cause(t.ctx))
	}
	if r := a.prepareSend(t); r != admission.ReasonNone {
		metric.Refused("agent", a.cfg.Service, string(t.class), string(r))
		return t.refusedEvent(r)
	}
	accepted := t.event()
	accepted.Event = &rpc.RunEvent_Accepted{Accepted: &rpc.Accepted{}}
	t.out.put(accepted, 0)
	var last *rpc.RunEvent
	var err error
	if a.cfg.Kind == contract.KindEngine {
		last, err = a.generate(t)
	} else {
		last, err = a.callPlain(t)
	}
	if err == nil {
		return last
	}
	a.handleUpstreamError(t, err)
	return t.failureEvent(err)
}

func (a *Agent) generate(t *task) (*rpc.RunEvent, error) {
	stream, err := a.cfg.Engine.Generate(t.ctx, upstream.GenerateRequest{
		AttemptID:       t.req.AttemptId,
		Path:            t.req.Path,
		Body:            t.req.Body,
		DeliveredText:   t.req.DeliveredText,
		DeliveredTokens: int(t.req.DeliveredTokens),
	})
	if err != nil {
		putStatus(t, err)
		return nil, err
	}
	t.answered.Store(true)
	defer stream.Close() // the outcome is already known, so the error does not matter
	for {
		d, err := stream.Next()
		if err == io.EOF {
			a.recordSound(t)
			return t.endEvent(stream.Usage()), nil
		}
		if err == nil {
			err = t.ctx.Err() // the stream may not notice the cancellation
		}
		if err != nil {
			return nil, err
		}
		a.recordTokens(t, d.Tokens)
		if t.outputs.Add(1) == poison.SoundOutputs {
			a.recordSound(t)
		}
		e := t.event()
		e.Event = &rpc.RunEvent_Delta{Delta: &rpc.Delta{Text: d.Text, Tokens: uint32(d.Tokens)}}
		if !t.out.put(e, len(d.Text)) {
			t.cancel(errSlowReader)
			return nil, errSlowReader
		}
	}
}

// recordSound records that the parts of the attempt's prompt do not crash the upstream.
func (a *Agent) recordSound(t *task) {
	if len(t.req.Parts) > 0 {
		a.cfg.Suspects.RecordSound(poison.PartsOf(t.req.AttemptId, t.req.Parts), time.Now())
	}
}

// putStatus forwards an error response, so that the caller sees the upstream's
// own error message.
func putStatus(t *task, err error) {
	var status *upstream.StatusError
	if !errors.As(err, &status) {
		return
	}
	head := t.event()
	head.Event = &rpc.RunEvent_Head{Head: &rpc.Head{Status: uint32(status.Status)}}
	t.out.put(head, 0)
	data := t.event()
	data.Event = &rpc.RunEvent_Data{Data: status.Body}
	t.out.put(data, len(status.Body))
}

func (t *task) endEvent(u upstream.Usage) *rpc.RunEvent {
	e := t.event()
	e.Event = &rpc.RunEvent_End{End: &rpc.End{
		FinishReason: u.FinishReason,
		PromptTokens: uint32(u.PromptTokens),
		OutputTokens: uint32(u.OutputTokens),
	}}
	return e
}

func (a *Agent) callPlain(t *task) (*rpc.RunEvent, error) {
	header := make(http.Header, len(t.req.Headers))
	for _, h := range t.req.Headers {
		if !hopByHop(h.Name) {
			header.Add(h.Name, h.Value)
		}
	}
	header.Set(attemptHeader, t.req.AttemptId)
	resp, err := a.cfg.Plain.Call(t.ctx, t.req.Method, t.req.Path, header, strings.NewReader(string(t.req.Body)))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	t.answered.Store(true)
	t.progress.Store(int64(a.now()))
	head := t.event()
	head.Event = &rpc.RunEvent_Head{Head: &rpc.Head{Status: uint32(resp.StatusCode), Headers: rpcHeaders(resp.Header)}}
	t.out.put(head, 0)
	for {
		chunk := make([]byte, plainChunkBytes)
		n, err := resp.Body.Read(chunk)
		if n > 0 {
			t.progress.Store(int64(a.now()))
			if putErr := t.putData(chunk[:n], a.cfg.SlowReaderTimeout); putErr != nil {
				return nil, putErr
			}
		}
		if err == io.EOF {
			return t.endEvent(upstream.Usage{}), nil
		}
		if err == nil {
			err = t.ctx.Err() // the body may not notice the cancellation
		}
		if err != nil {
			return nil, err
		}
	}
}

// putData appends body data. If the buffer is full, it waits for the reader for at
// most the given time.
func (t *task) putData(chunk []byte, timeout time.Duration) error {
	e := t.event()
	e.Event = &rpc.RunEvent_Data{Data: chunk}
	if t.out.put(e, len(chunk)) {
		return nil
	}
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	if !t.out.putWait(ctx, e, len(chunk)) {
		t.cancel(errSlowReader) // no effect if already cancelled for another cause
		return errSlowReader
	}
	return nil
}

func rpcHeaders(h http.Header) []*rpc.Header {
	var out []*rpc.Header
	for name, values := range h {
		if hopByHop(name) {
			continue
		}
		for _, v := range values {
			out = append(out, &rpc.Header{Name: name, Value: v})
		}
	}
	return out
}

// hopByHop reports whether a header describes the connection instead of the message.
func hopByHop(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}
