package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/apierror"
	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/intake"
	"github.com/magnoliausher/magnoliausher/metric"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// Header names of requests and responses.
const (
	requestIDHeader   = "X-Request-Id"
	timeoutHeader     = "X-Request-Timeout-Ms"
	idempotencyHeader = "Idempotency-Key"
)

// maxRequestIDBytes bounds a request ID supplied by the caller.
const maxRequestIDBytes = 128

// classOnline is the class label of the metrics of this package.
const classOnline = string(contract.ClassOnline)

// request is one online request with the state of its attempts. Only the goroutine that
// serves it uses it.
type request struct {
	id            string
	log           zerolog.Logger
	arrivedAt     time.Time
	deadline      time.Time
	caller        *contract.Caller
	service       *contract.Service
	configVersion uint64
	method        string
	path          string // sent to the upstream, including the query
	header        []*rpc.Header
	body          []byte
	repeatable    bool
	singleAttempt bool // no retry, even after a refusal

	fingerprint  uint64
	parts        []uint64 // hashes of the parts of the prompt that other requests may share
	trial        bool     // tests whether a part is blocked rightly, so that it is sent once only
	prefix       uint64
	promptTokens uint32
	outputTokens uint32

	firstAttempt     attempt.ID // attempt ID in the intent row; empty if there is none
	excluded         []string   // agents of earlier attempts
	exclusionsLifted bool       // the exclusions have been lifted, which happens once
	freeRetryUsed    bool       // a lost attempt has been retried outside the retry budget
	handedOver       bool       // an attempt may have reached an upstream
	crashes          int        // upstreams that crashed while they ran this request
	deliveredText    strings.Builder
	deliveredTokens  int
	lastTokenAt      time.Time
	tokenIntervals   *metrics.Histogram // of the service; set at the second token
}

// executed returns what the caller may be told about execution after the attempts so
// far.
func (rq *request) executed() attempt.Executed {
	if rq.handedOver {
		return attempt.ExecutedUnknown
	}
	return attempt.ExecutedNo
}

// serviceName returns the service label of metrics. It is empty until the service has
// been found, so that callers cannot create labels.
func (rq *request) serviceName() string {
	if rq.service == nil {
		return ""
	}
	return rq.service.Name
}

func (e *Entry) newRequest(r *http.Request) *request {
	id := r.Header.Get(requestIDHeader)
	if !validRequestID(id) {
		id = newRequestID()
	}
	return &request{
		id:         id,
		log:        e.config.Logger.With().Str("request", id).Logger(),
		arrivedAt:  time.Now(),
		method:     r.Method,
		repeatable: true,
	}
}

func newRequestID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails since Go 1.24
	return hex.EncodeToString(b[:])
}

func validRequestID(id string) bool {
	return id != "" && len(id) <= maxRequestIDBytes && visibleASCII(id)
}

func visibleASCII(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// refuse responds with the error, counts it and logs it.
func (e *Entry) refuse(w http.ResponseWriter, rq *request, err *apierror.Error) {
	e.countRefusal(rq, err)
	apierror.Write(w, err)
}

func (e *Entry) countRefusal(rq *request, err *apierror.Error) {
	metric.Refused("entry", rq.serviceName(), classOnline, err.Code)
	rq.log.Debug().Str("code", err.Code).Int("status", err.ResponseStatus()).
		Str("executed", string(err.Executed)).Msg("request refused or failed")
}

// authenticate looks up the caller by its bearer key.
func (e *Entry) authenticate(rq *request, r *http.Request) *apierror.Error {
	ix := e.config.Holder.Current()
	if ix == nil {
		return unavailable(codeNotReady, "The instance has no configuration yet.", e.config.RetryAfter)
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return refusal(http.StatusUnauthorized, typeAuth, codeMissingKey,
			"The request needs an Authorization header with a bearer key.")
	}
	rq.caller = ix.CallerByKey(key)
	if rq.caller == nil {
		return refusal(http.StatusUnauthorized, typeAuth, codeUnknownKey, "The bearer key is not known.")
	}
	rq.configVersion = ix.Document.Version
	rq.log = rq.log.With().Str("caller", rq.caller.ID).Logger()
	return nil
}

// checkClass returns an error if the caller may not submit work of the class.
func checkClass(c *contract.Caller, class contract.Class) *apierror.Error {
	if c.Allows(class) {
		return nil
	}
	return refusal(http.StatusForbidden, typePermission, codeClassNotAllowed,
		"The caller may not submit "+string(class)+" work.")
}

// setDeadline sets the deadline from the caller's timeout, up to MaxDeadline, or from
// the service's default.
func (e *Entry) setDeadline(rq *request, r *http.Request) *apierror.Error {
	limit := contract.DefaultDeadline
	if rq.service.DeadlineMS > 0 {
		limit = time.Duration(rq.service.DeadlineMS) * time.Millisecond
	}
	if text := r.Header.Get(timeoutHeader); text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil || ms == 0 {
			return badRequest(codeInvalidHeader, timeoutHeader, timeoutHeader+" must be a positive number of milliseconds.")
		}
		limit = min(time.Duration(ms)*time.Millisecond, e.config.MaxDeadline)
	}
	rq.deadline = rq.arrivedAt.Add(limit)
	return nil
}

// readBody reads the whole body within the size and time limits.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *apierror.Error) {
	if r.ContentLength > e.config.MaxBodyBytes {
		intake.Close(w, r)
		return nil, e.bodyTooLarge()
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(e.config.BodyTimeout)) // not supported by every writer
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.config.MaxBodyBytes))
	// If the deadline stayed set, the server would treat its expiry as a lost connection.
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, e.bodyTooLarge()
	case errors.Is(err, intake.ErrExhausted):
		return nil, unavailable(codeNoMemory, "The instance has no memory left for the body.", e.config.RetryAfter)
	case errors.Is(err, intake.ErrDropped):
		return nil, refusal(http.StatusRequestTimeout, typeInvalid, codeBodyTooSlow, "The body arrived too slowly.")
	case err != nil:
		return nil, badRequest(codeBodyRead, "", "The body could not be read.")
	}
	return body, nil
}

func (e *Entry) bodyTooLarge() *apierror.Error {
	return refusal(http.StatusRequestEntityTooLarge, typeInvalid, codeBodyTooLarge,
		"The body is larger than "+strconv.FormatInt(e.config.MaxBodyBytes, 10)+" bytes.")
}

// admitCaller applies the caller's limits. If it returns no error, release must be
// called once.
func (e *Entry) admitCaller(rq *request) (release func(), fail *apierror.Error) {
	v := e.callers.Admit(rq.caller, rq.arrivedAt)
	if v.Reason != "" {
		return nil, limitRefusal(v.Reason, v.RetryAfter)
	}
	return func() { e.callers.Release(rq.caller.ID) }, nil
}

// acquireService waits until the service's concurrency limit allows the request. If it
// returns no error, release must be called once.
func (e *Entry) acquireService(ctx context.Context, rq *request) (release func(), fail *apierror.Error) {
	now := time.Now()
	limiter := e.service(rq.service, now).limiter
	if reason := limiter.Acquire(ctx, rq.caller.ID, rq.deadline, now); reason != "" {
		return nil, limitRefusal(reason, e.config.RetryAfter)
	}
	started := time.Now()
	return func() { limiter.Release(started, time.Now()) }, nil
}
