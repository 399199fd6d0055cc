package job

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/apierror"
	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/finding"
	"github.com/magnoliausher/magnoliausher/metric"
	"github.com/magnoliausher/magnoliausher/storage"
)

// platformTimeout bounds the platform calls of one request, except file transfers.
// A create that times out may have taken effect; a retry returns the same job.
const platformTimeout = 10 * time.Second

// outageRetryAfter is the Retry-After value while the platform is unavailable.
const outageRetryAfter = 5 * time.Second

// API serves the files and batches endpoints of the OpenAI API. The caller comes
// from contract.CallerFrom.
type API struct {
	Store    *Store
	Contract *contract.Holder
	// AnnounceCancelled notifies all entries of a cancelled job, see
	// link.BatchCoordinator.AnnounceCancelled.
	AnnounceCancelled func(jobID string)
	// OnAccepted is called after this entry has accepted a job, see
	// Runner.RefreshIndex. It may be nil.
	OnAccepted func()
	Log        zerolog.Logger

	counts  countCache
	uploads atomic.Int32
}

type handler func(w http.ResponseWriter, r *http.Request, c *contract.Caller) error

// Handler returns the routes under /v1/files and /v1/batches.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	for pattern, h := range map[string]handler{
		"POST /v1/files":               a.upload,
		"GET /v1/files/{id}":           a.getFile,
		"GET /v1/files/{id}/content":   a.getContent,
		"POST /v1/batches":             a.create,
		"GET /v1/batches":              a.list,
		"GET /v1/batches/{id}":         a.get,
		"POST /v1/batches/{id}/cancel": a.cancel,
	} {
		mux.Handle(pattern, a.authorise(h))
	}
	return mux
}

// authorise returns an http.Handler that checks whether the caller may submit batch
// work, then calls h, and writes the error of either.
func (a *API) authorise(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := contract.CallerFrom(r.Context())
		var err error
		switch {
		case c == nil:
			err = invalidRequest(http.StatusUnauthorized, "invalid_api_key", "", "no valid key")
		case !c.Allows(contract.ClassBatch):
			err = invalidRequest(http.StatusForbidden, "class_not_allowed", "", "the caller may not submit batch work")
		default:
			err = h(w, r, c)
		}
		if err != nil {
			a.writeError(w, r, err)
		}
	})
}

// writeError writes a handler's error. Platform errors are logged, not returned.
func (a *API) writeError(w http.ResponseWriter, r *http.Request, err error) {
	e := apiErrorOf(err)
	if e.Status >= http.StatusInternalServerError {
		a.Log.Warn().Err(err).Str("path", r.URL.Path).Msg("batch API request failed")
	}
	if r.Method == http.MethodGet {
		e.Executed, e.ReadOnly = "", true
	}
	metric.Refused("entry", "", string(contract.ClassBatch), e.Code)
	apierror.Write(w, e)
}

func invalidRequest(status int, code, param, message string) *apierror.Error {
	return &apierror.Error{
		Status: status, Type: "invalid_request_error", Code: code, Param: param,
		Message: message, Executed: attempt.ExecutedNo,
	}
}

// apiErrorOf returns the API error of a handler's error, and what is known of the writes
// made before it.
func apiErrorOf(err error) *apierror.Error {
	e := classifyError(err)
	if errors.Is(err, errMayBeWritten) {
		e.Executed = attempt.ExecutedUnknown
	}
	return e
}

func classifyError(err error) *apierror.Error {
	var e *apierror.Error
	var findings finding.List
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &e):
		copied := *e
		return &copied
	case errors.As(err, &findings):
		e = invalidRequest(http.StatusBadRequest, "invalid_file", "file", "the file has findings; nothing was stored")
		e.Findings = findings
		return e
	case errors.Is(err, ErrFileTooLarge), errors.As(err, &tooLarge):
		return invalidRequest(http.StatusRequestEntityTooLarge, "file_too_large", "file", ErrFileTooLarge.Error())
	case errors.Is(err, ErrIdempotencyMismatch):
		return invalidRequest(http.StatusConflict, "idempotency_key_reused", "Idempotency-Key", ErrIdempotencyMismatch.Error())
	case errors.Is(err, storage.ErrNotFound):
		return invalidRequest(http.StatusNotFound, "not_found", "", "no such file or batch")
	}
	// A write that was sent may have taken effect; a retry returns the same job.
	e = &apierror.Error{
		Status: http.StatusServiceUnavailable, Type: "server_error", Code: "platform_unavailable",
		Message: "the platform does not answer; send the request again", Executed: attempt.ExecutedUnknown,
		RetryAfter: outageRetryAfter,
	}
	if errors.Is(err, ErrNotWritten) {
		e.Executed = attempt.ExecutedNo
	}
	return e
}

func writeJSON(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(mustJSON(v), '\n')) // the client may have disconnected
	return nil
}

// withPlatformTimeout returns the request's context limited to platformTimeout.
func withPlatformTimeout(r *http.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), platformTimeout)
}

// ownJob returns a job if it belongs to the caller's organisation, else
// storage.ErrNotFound.
func (a *API) ownJob(ctx context.Context, id string, c *contract.Caller) (*Job, error) {
	j, err := a.Store.Job(ctx, id)
	if err != nil {
		return nil, err
	}
	if j.Organisation != c.Organisation {
		return nil, storage.ErrNotFound
	}
	return j, nil
}

// maxCreateBytes is the maximum body size of POST /v1/batches.
const maxCreateBytes = 64 << 10

func decodeBody(w http.ResponseWriter, r *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCreateBytes))
	if err := d.Decode(v); err != nil {
		return invalidRequest(http.StatusBadRequest, "invalid_json", "", "the body is not the expected JSON object: "+err.Error())
	}
	return nil
}
