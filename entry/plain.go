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

// servePlain forwards a request to a plain service.
func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request, rq *request) *apierror.Error {
	if fail := e.authenticate(rq, r); fail != nil {
		return fail
	}
	if fail := checkClass(rq.caller, contract.ClassOnline); fail != nil {
		return fail
	}
	if fail := e.resolvePlain(rq, r); fail != nil {
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
	rq.fingerprint = attempt.Fingerprint(rq.caller.ID, rq.service.Name, fingerprintInput(rq))
	rq.header = forwardHeaders(r.Header, rq.id)
	ctx, cancel := context.WithDeadline(r.Context(), rq.deadline)
	defer cancel()
	releaseService, fail := e.acquireService(ctx, rq)
	if fail != nil {
		return fail
	}
	defer releaseService()
	if !rq.repeatable {
		return e.serveNonRepeatable(w, r, rq)
	}
	out := newPlainSink(w, r, e.config.WriteTimeout, maxBufferedBytes)
	if _, fail := e.dispatch(ctx, rq, out); fail != nil {
		return e.abortPlain(rq, out, fail)
	}
	out.finish()
	return nil
}

// fingerprintInput includes method and path, which distinguish calls without a body.
func fingerprintInput(rq *request) []byte {
	b := make([]byte, 0, len(rq.method)+len(rq.path)+len(rq.body)+2)
	b = append(b, rq.method...)
	b = append(b, 0)
	b = append(b, rq.path...)
	b = append(b, 0)
	return append(b, rq.body...)
}

// abortPlain aborts a response that has begun, or returns the error to respond with.
func (e *Entry) abortPlain(rq *request, out *plainSink, fail *apierror.Error) *apierror.Error {
	if !out.headerSent {
		return fail
	}
	e.countRefusal(rq, fail)
	// Closes the connection, so that the caller sees a truncated response.
	panic(http.ErrAbortHandler)
}

// resolvePlain determines service and path from /services/<name>/<path>.
func (e *Entry) resolvePlain(rq *request, r *http.Request) *apierror.Error {
	escaped := strings.TrimPrefix(r.URL.EscapedPath(), pathServices)
	name, rest, _ := strings.Cut(escaped, "/")
	name, err := url.PathUnescape(name)
	svc := e.config.Holder.Current().Service(name)
	if err != nil || svc == nil || svc.Kind != contract.KindPlain {
		return refusal(http.StatusNotFound, typeNotFound, codeUnknownService, "The service "+quote(name)+" does not exist.")
	}
	rq.service = svc
	rq.path = "/" + rest
	rq.repeatable = isRepeatable(svc, rq.method, rq.path)
	if r.URL.RawQuery != "" {
		rq.path += "?" + r.URL.RawQuery
	}
	return nil
}

// isRepeatable matches the path as sent, and as a service may interpret it after
// decoding and cleaning. Otherwise /%69nvoice or //invoice would bypass the declaration
// of /invoice.
func isRepeatable(svc *contract.Service, method, escaped string) bool {
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

// hopByHop lists the headers that apply to a single connection (RFC 9110, section
// 7.6.1).
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// notForwarded lists the headers that are meant for the entry: the caller's key is a
// secret of this system, and lengths are recomputed.
var notForwarded = map[string]bool{
	"Authorization": true, "Content-Length": true, "Host": true, "Expect": true,
	timeoutHeader: true, requestIDHeader: true,
}

// connectionHeaders returns the headers that Connection declares as hop-by-hop.
func connectionHeaders(values []string) map[string]bool {
	options := make(map[string]bool)
	for _, v := range values {
		for _, name := range strings.Split(v, ",") {
			options[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return options
}

func forwardHeaders(h http.Header, requestID string) []*rpc.Header {
	options := connectionHeaders(h["Connection"])
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

// responseHeaders copies an upstream's headers. It removes the header that states
// whether a request was executed, since only the entry may state that.
func responseHeaders(h *rpc.Head) http.Header {
	out := make(http.Header, len(h.GetHeaders()))
	for _, x := range h.GetHeaders() {
		out.Add(x.Name, x.Value)
	}
	for name := range connectionHeaders(out["Connection"]) {
		out.Del(name)
	}
	for name := range hopByHop {
		out.Del(name)
	}
	out.Del(apierror.ExecutedHeader)
	out.Del(requestIDHeader)
	return out
}

// maxBufferedBytes of a response are buffered, so that a short response can still be
// replaced by that of another attempt.
const maxBufferedBytes = 64 << 10

// plainSink responds with the status, headers and body of a plain service. It buffers
// the response up to a limit and streams it from then on.
type plainSink struct {
	writer        *deadlineWriter
	isHeadRequest bool // the request's method is HEAD
	limit         int
	status        int
	header        http.Header
	body          []byte
	headerSent    bool // status and headers have been sent
	eventStream   bool // server-sent events, which are not buffered
}

func newPlainSink(w http.ResponseWriter, r *http.Request, timeout time.Duration, limit int) *plainSink {
	return &plainSink{writer: newDeadlineWriter(w, timeout), isHeadRequest: r.Method == http.MethodHead, limit: limit}
}

// head records the status and headers of an attempt's response and discards the
// buffered response of an earlier attempt. It returns errProtocol if the status is
// out of range or headers have already been sent to the caller.
func (s *plainSink) head(h *rpc.Head) error {
	if h.Status < http.StatusOK || h.Status > maxStatus || s.headerSent {
		return errProtocol
	}
	s.status = int(h.Status)
	s.header = responseHeaders(h)
	s.body = s.body[:0]
	s.eventStream = strings.HasPrefix(s.header.Get("Content-Type"), "text/event-stream")
	return nil
}

// maxStatus is the highest status code that net/http writes.
const maxStatus = 999

// resumable is false once part of a response has been sent.
func (s *plainSink) resumable() bool { return !s.headerSent }

func (s *plainSink) text(*rpc.Delta) error { return errProtocol }

func (s *plainSink) data(b []byte) error {
	if !s.headerSent && !s.eventStream && len(s.body)+len(b) <= s.limit {
		s.body = append(s.body, b...)
		return nil
	}
	if !s.headerSent {
		s.writeHeader()
		if s.writer.write(s.body) != nil {
			return errCallerGone
		}
	}
	if s.writer.write(b) != nil || (s.eventStream && s.writer.flush() != nil) {
		return errCallerGone
	}
	return nil
}

// writeHeader sends status and headers.
func (s *plainSink) writeHeader() {
	s.headerSent = true
	h := s.writer.w.Header()
	for name, values := range s.header {
		h[name] = values
	}
	if s.header.Get("Content-Type") == "" {
		h["Content-Type"] = nil // prevents net/http from detecting one
	}
	s.writer.w.WriteHeader(s.status)
}

// finish sends a complete response that is still buffered.
func (s *plainSink) finish() {
	if s.headerSent {
		return
	}
	if !s.isHeadRequest && bodyAllowed(s.status) {
		s.header.Set("Content-Length", strconv.Itoa(len(s.body)))
	}
	s.writeHeader()
	if len(s.body) > 0 && bodyAllowed(s.status) {
		_ = s.writer.write(s.body) // the caller may have disconnected
	}
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
