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
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1/magnoliausherv1connect"
	"github.com/magnoliausher/magnoliausher/upstream"
)

const (
	// reportInterval is the least time between load reports on one stream.
	reportInterval = 500 * time.Millisecond
	// plainChunk is the most body bytes of a plain service in one event.
	plainChunk = 32 << 10
)

// EntryHeader names the entry that runs an attempt, for its grants and reports.
const EntryHeader = "Magnoliausher-Entry"

// attemptHeader names the attempt to a plain service, for its log and to find a
// call that it has seen before.
const attemptHeader = "X-Attempt-Id"

type controllerKey struct{}

// Handler serves the RPCs of the agent, /healthz, /readyz and /metrics. The
// server must speak HTTP/2.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	// Clients accept gzip by default, and compressing every event of a few
	// bytes costs more than the rest of its path.
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
// stream, so that a reader that has stopped can't hold it open.
func withController(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), controllerKey{}, http.NewResponseController(w))
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}

type agentService struct{ a *Agent }

// Control hands the stream to the control side.
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

// serve performs one attempt of an entry, "" when unknown, and passes its
// events to send, in order.
func (a *Agent) serve(ctx context.Context, entryID string, req *rpc.RunRequest, send func(*rpc.RunEvent) error) error {
	t := a.newTask(ctx, entryID, req)
	defer t.cancel(errEntryGone)
	reason := a.arrive(t)
	if reason == admission.ReasonNone {
		reason = a.await(t)
	}
	if reason != admission.ReasonNone {
		return a.sendRefusal(t, reason, send)
	}
	go a.runTask(t)
	return a.forward(ctx, t, send)
}

func (a *Agent) sendRefusal(t *task, r admission.Reason, send func(*rpc.RunEvent) error) error {
	metric.Refused("agent", a.cfg.Service, string(t.class), string(r))
	e := t.refused(r)
	e.Load = a.loadSummary()
	return send(e)
}

// await waits for a slot. It returns ReasonNone when one is reserved.
func (a *Agent) await(t *task) admission.Reason {
	select {
	case r := <-t.verdict:
		return r
	default:
	}
	select {
	case r := <-t.verdict:
		return r
	case <-t.ctx.Done():
		if a.abandon(t) {
			return admission.ReasonDeadline // seen only when the entry still listens
		}
		return <-t.verdict
	}
}

// forward sends the attempt's events until the last one.
func (a *Agent) forward(ctx context.Context, t *task, send func(*rpc.RunEvent) error) error {
	stopGuard := a.guardReader(ctx, t)
	defer stopGuard()
	load := a.ridingLoads(t.entryID)
	for {
		select {
		case <-t.out.ready:
		case <-ctx.Done():
			t.cancel(errEntryGone)
			return ctx.Err()
		}
		events, done := t.out.take()
		for _, e := range events {
			e.Load = load()
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

// ridingLoads returns a function that gives the report for the next event of
// one stream, or nil when none is due.
func (a *Agent) ridingLoads(entryID string) func() *rpc.LoadReport {
	if r, ok := a.control.(ridingLoader); ok && entryID != "" {
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

// guardReader ends a blocked send once the attempt is cancelled for its slow
// reader, because the reader may never read again. stop must be called before
// the handler returns; a response must not be touched after that.
func (a *Agent) guardReader(ctx context.Context, t *task) (stop func()) {
	rc, ok := ctx.Value(controllerKey{}).(*http.ResponseController)
	if !ok {
		return func() {}
	}
	var mu sync.Mutex
	returned := false
	cancel := context.AfterFunc(t.ctx, func() {
		mu.Lock()
		defer mu.Unlock()
		if !returned && errors.Is(context.Cause(t.ctx), errSlowReader) {
			_ = rc.SetWriteDeadline(time.Now().Add(a.cfg.SlowReaderTimeout)) // every HTTP/2 response supports it
		}
	})
	return func() {
		cancel()
		mu.Lock()
		defer mu.Unlock()
		returned = true
	}
}

// runTask hands the attempt over, pumps its output and frees its slot.
func (a *Agent) runTask(t *task) {
	last := a.execute(t)
	a.release(t)
	t.out.close(last)
}

// execute returns the attempt's last event.
func (a *Agent) execute(t *task) *rpc.RunEvent {
	if t.ctx.Err() != nil {
		return t.notHandedOver(context.Cause(t.ctx))
	}
	if r := a.handOver(t); r != admission.ReasonNone {
		metric.Refused("agent", a.cfg.Service, string(t.class), string(r))
		return t.refused(r)
	}
	accepted := t.event()
	accepted.Event = &rpc.RunEvent_Accepted{Accepted: &rpc.Accepted{}}
	t.out.put(accepted, 0)
	var last *rpc.RunEvent
	var err error
	if a.cfg.Kind == contract.KindEngine {
		last, err = a.generate(t)
	} else {
		last, err = a.call(t)
	}
	if err == nil {
		return last
	}
	a.noteUpstreamError(t, err)
	return t.failure(err)
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
	defer stream.Close() // the outcome is known by then
	for {
		d, err := stream.Next()
		if err == io.EOF {
			return t.end(stream.Usage()), nil
		}
		if err == nil {
			err = t.ctx.Err() // the stream may not notice the cancellation
		}
		if err != nil {
			return nil, err
		}
		a.token(t, d.Tokens)
		e := t.event()
		e.Event = &rpc.RunEvent_Delta{Delta: &rpc.Delta{Text: d.Text, Tokens: uint32(d.Tokens)}}
		if !t.out.put(e, len(d.Text)) {
			t.cancel(errSlowReader)
			return nil, errSlowReader
		}
	}
}

// putStatus passes an error answer on, so that the caller sees the upstream's
// own explanation.
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

func (t *task) end(u upstream.Usage) *rpc.RunEvent {
	e := t.event()
	e.Event = &rpc.RunEvent_End{End: &rpc.End{
		FinishReason: u.FinishReason,
		PromptTokens: uint32(u.PromptTokens),
		OutputTokens: uint32(u.OutputTokens),
	}}
	return e
}

func (a *Agent) call(t *task) (*rpc.RunEvent, error) {
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
	head.Event = &rpc.RunEvent_Head{Head: &rpc.Head{Status: uint32(resp.StatusCode), Headers: headers(resp.Header)}}
	t.out.put(head, 0)
	for {
		chunk := make([]byte, plainChunk)
		n, err := resp.Body.Read(chunk)
		if n > 0 {
			t.progress.Store(int64(a.now()))
			if putErr := t.putData(chunk[:n], a.cfg.SlowReaderTimeout); putErr != nil {
				return nil, putErr
			}
		}
		if err == io.EOF {
			return t.end(upstream.Usage{}), nil
		}
		if err == nil {
			err = t.ctx.Err() // the body may not notice the cancellation
		}
		if err != nil {
			return nil, err
		}
	}
}

// putData waits a while for a reader that is slower than the service.
func (t *task) putData(chunk []byte, patience time.Duration) error {
	e := t.event()
	e.Event = &rpc.RunEvent_Data{Data: chunk}
	if t.out.put(e, len(chunk)) {
		return nil
	}
	ctx, cancel := context.WithTimeout(t.ctx, patience)
	defer cancel()
	if !t.out.putWait(ctx, e, len(chunk)) {
		t.cancel(errSlowReader) // no effect when another cause came first
		return errSlowReader
	}
	return nil
}

func headers(h http.Header) []*rpc.Header {
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
