package entry

import (
	"context"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliausher/magnoliausher/apierror"
	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/contract"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// servePlain passes a request to a plain service.
func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request, rq *request) *apierror.Error {
	if fail := e.authenticate(rq, r); fail != nil {
		return fail
	}
	if fail := allow(rq.caller, contract.ClassOnline); fail != nil {
		return fail
	}
	if fail := e.findPlain(rq, r); fail != nil {
		return fail
	}
	if fail := e.setDeadline(rq, r); fail != nil {
		return fail
	}
	releaseCaller, fail := e.admitCaller(rq)
	if fail != nil {
		return fail
	}
	defer releaseCaller()
	rq.body, fail = e.readBody(w, r)
	if fail != nil {
		return fail
	}
	rq.fingerprint = attempt.Fingerprint(rq.caller.ID, rq.service.Name, fingerprintBody(rq))
	rq.header = forwardHeaders(r.Header, rq.id)
	ctx, cancel := context.WithDeadline(r.Context(), rq.deadline)
	defer cancel()
	releaseService, fail := e.enterService(ctx, rq)
	if fail != nil {
		return fail
	}
	defer releaseService()
	if !rq.repeatable {
		return e.serveOnce(w, r, rq)
	}
	out := newPlainSink(w, r, e.config.WriteTimeout, passThroughBytes)
	if _, fail := e.dispatch(ctx, rq, out); fail != nil {
		return e.failPlain(rq, out, fail)
	}
	out.finish()
	return nil
}

// fingerprintBody tells two calls without a body apart by method and path.
func fingerprintBody(rq *request) []byte {
	b := make([]byte, 0, len(rq.method)+len(rq.path)+len(rq.body)+2)
	b = append(b, rq.method...)
	b = append(b, 0)
	b = append(b, rq.path...)
	b = append(b, 0)
	return append(b, rq.body...)
}

// failPlain breaks off an answer that has begun, or returns the error to be
// answered as a whole.
func (e *Entry) failPlain(rq *request, out *plainSink, fail *apierror.Error) *apierror.Error {
	if !out.sent {
		return fail
	}
	e.countRefusal(rq, fail)
	// Closes the connection, so that the caller sees a truncated answer.
	panic(http.ErrAbortHandler)
}

// findPlain takes service and path from /services/<name>/<path>.
func (e *Entry) findPlain(rq *request, r *http.Request) *apierror.Error {
	escaped := strings.TrimPrefix(r.URL.EscapedPath(), pathServices)
	name, rest, _ := strings.Cut(escaped, "/")
	name, err := url.PathUnescape(name)
	svc := e.config.Holder.Current().Service(name)
	if err != nil || svc == nil || svc.Kind != contract.KindPlain {
		return refusal(http.StatusNotFound, typeNotFound, codeUnknownService, "The service "+quote(name)+" does not exist.")
	}
	rq.service = svc
	rq.path = "/" + rest
	rq.repeatable = repeatable(svc, rq.method, rq.path)
	if r.URL.RawQuery != "" {
		rq.path += "?" + r.URL.RawQuery
	}
	return nil
}

// repeatable matches the path as written and as a service may read it after
// decoding and cleaning. Otherwise /%69nvoice or //invoice would escape the
// declaration of /invoice.
func repeatable(svc *contract.Service, method, escaped string) bool {
	method = strings.ToUpper(method)
	if !svc.Repeatable(method, escaped) {
		return false
	}
	decoded, err := url.PathUnescape(escaped)
	if err != nil {
		decoded = escaped
	}
	return svc.Repeatable(method, decoded) && svc.Repeatable(method, path.Clean(decoded))
}

// hopByHop headers belong to one connection (RFC 9110, section 7.6.1).
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// notForwarded headers are the entry's own: the caller's key is a secret of
// this system, and lengths are set anew.
var notForwarded = map[string]bool{
	"Authorization": true, "Content-Length": true, "Host": true, "Expect": true,
	timeoutHeader: true, requestIDHeader: true,
}

// connectionOptions are the headers that Connection names as hop-by-hop.
func connectionOptions(values []string) map[string]bool {
	options := make(map[string]bool)
	for _, v := range values {
		for _, name := range strings.Split(v, ",") {
			options[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return options
}

func forwardHeaders(h http.Header, requestID string) []*rpc.Header {
	options := connectionOptions(h["Connection"])
	out := []*rpc.Header{{Name: requestIDHeader, Value: requestID}}
	for name, values := range h {
		if hopByHop[name] || notForwarded[name] || options[name] {
			continue
		}
		for _, v := range values {
			out = append(out, &rpc.Header{Name: name, Value: v})
		}
	}
	return out
}

// answerHeaders copies an upstream's headers. An upstream must not answer for
// the system whether a request was run.
func answerHeaders(h *rpc.Head) http.Header {
	out := make(http.Header, len(h.GetHeaders()))
	for _, x := range h.GetHeaders() {
		out.Add(x.Name, x.Value)
	}
	for name := range connectionOptions(out["Connection"]) {
		out.Del(name)
	}
	for name := range hopByHop {
		out.Del(name)
	}
	out.Del(apierror.ExecutedHeader)
	out.Del(requestIDHeader)
	return out
}

// passThroughBytes of an answer are held back, so that a short one can still
// be replaced by another attempt's.
const passThroughBytes = 64 << 10

// plainSink answers with the status, headers and body of a plain service. It
// holds the answer back up to a limit and then passes it on as it arrives.
type plainSink struct {
	writer *timedWriter
	isHead bool // the request's method is HEAD
	limit  int
	status int
	header http.Header
	body   []byte
	sent   bool // the status has been sent
	live   bool // an event stream, passed on at once
}

func newPlainSink(w http.ResponseWriter, r *http.Request, timeout time.Duration, limit int) *plainSink {
	return &plainSink{writer: newTimedWriter(w, timeout), isHead: r.Method == http.MethodHead, limit: limit}
}

// head starts the answer of an attempt, in place of one held back.
func (s *plainSink) head(h *rpc.Head) error {
	if h.Status < http.StatusOK || h.Status > maxStatus || s.sent {
		return errProtocol
	}
	s.status = int(h.Status)
	s.header = answerHeaders(h)
	s.body = s.body[:0]
	s.live = strings.HasPrefix(s.header.Get("Content-Type"), "text/event-stream")
	return nil
}

// maxStatus is the highest status that net/http writes.
const maxStatus = 999

// resumable is false once a part of one attempt's answer is out.
func (s *plainSink) resumable() bool { return !s.sent }

func (s *plainSink) text(*rpc.Delta) error { return errProtocol }

func (s *plainSink) data(b []byte) error {
	if !s.sent && !s.live && len(s.body)+len(b) <= s.limit {
		s.body = append(s.body, b...)
		return nil
	}
	if !s.sent {
		s.send()
		if s.writer.write(s.body) != nil {
			return errCallerGone
		}
	}
	if s.writer.write(b) != nil || (s.live && s.writer.flush() != nil) {
		return errCallerGone
	}
	return nil
}

// send sends status and headers.
func (s *plainSink) send() {
	s.sent = true
	h := s.writer.w.Header()
	for name, values := range s.header {
		h[name] = values
	}
	if s.header.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	s.writer.w.WriteHeader(s.status)
}

// finish sends what is held back of a whole answer.
func (s *plainSink) finish() {
	if s.sent {
		return
	}
	if !s.isHead && bodyAllowed(s.status) {
		s.header.Set("Content-Length", strconv.Itoa(len(s.body)))
	}
	s.send()
	if len(s.body) > 0 && bodyAllowed(s.status) {
		_ = s.writer.write(s.body) // the caller may be gone
	}
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
