// Package operator serves the operator API of an entry. The API accepts sheets
// and small changes between sheets, and returns the configuration in force, its
// history and its rollout status.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/apierror"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/intake"
	"github.com/magnoliausher/magnoliausher/link"
	"github.com/magnoliausher/magnoliausher/metric"
)

// Paths of the API.
const (
	PathSheet   = "/operator/v1/sheet"
	PathChange  = "/operator/v1/change"
	PathDiff    = "/operator/v1/diff"
	PathHistory = "/operator/v1/history"
	PathStatus  = "/operator/v1/status"
)

// VersionHeader is the response header with the configuration's version.
const VersionHeader = "X-Config-Version"

// Limits of one request.
const (
	// acceptTimeout bounds the retries of an acceptance. A client that waits
	// longer than this gets a response even if the outcome is unknown.
	acceptTimeout = 10 * time.Second
	// readTimeout bounds reads from the platform, after which most requests fall
	// back to the entry's own copy of the configuration.
	readTimeout = 2 * time.Second
	// bodyTimeout bounds the upload of a body; the largest sheet needs 0.6 MB/s.
	bodyTimeout = 30 * time.Second
)

// Config configures an API.
type Config struct {
	ID     string // instance id of the entry
	Store  *contract.Store
	Holder *contract.Holder
	Fleet  link.Fleet
	// PossiblyStale reports whether no source has confirmed the entry's
	// configuration recently. If it is nil, the status reports false.
	PossiblyStale func() bool
	Log           zerolog.Logger
}

// API serves the operator paths of one entry. It reads the authenticated caller
// of a request with contract.CallerFrom.
type API struct {
	config         Config
	unknownOutcome chan struct{} // receives a value after an acceptance with an unknown outcome
}

// New returns the API of an entry. Run must run concurrently with its handler.
func New(config Config) *API {
	return &API{config: config, unknownOutcome: make(chan struct{}, 1)}
}

type handler func(w http.ResponseWriter, r *http.Request) error

// methodHandlers maps the HTTP methods of one path to their handlers.
type methodHandlers map[string]handler

// Handler returns the routes under /operator/v1.
func (a *API) Handler() http.Handler {
	routes := map[string]methodHandlers{
		PathSheet:   {http.MethodPost: a.applySheet, http.MethodGet: a.getSheet},
		PathChange:  {http.MethodPost: a.applyChange},
		PathDiff:    {http.MethodPost: a.diff},
		PathHistory: {http.MethodGet: a.history},
		PathStatus:  {http.MethodGet: a.status},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := a.serve(w, r, routes[r.URL.Path]); err != nil {
			a.writeError(w, r, err)
		}
	})
}

// serve checks the path, method and caller of a request and calls its handler.
func (a *API) serve(w http.ResponseWriter, r *http.Request, path methodHandlers) error {
	if path == nil {
		return newError(http.StatusNotFound, typeNotFound, codeUnknownPath, "The path is not known.")
	}
	h := path[r.Method]
	if h == nil {
		allowed := strings.Join(slices.Sorted(maps.Keys(path)), ", ")
		w.Header().Set("Allow", allowed)
		return newError(http.StatusMethodNotAllowed, typeInvalid, codeMethod, "The path allows only "+allowed+".")
	}
	if err := a.authorise(r); err != nil {
		return err
	}
	return h(w, r)
}

// authorise admits operators. While the entry has no configuration it knows no
// callers, so it admits a sheet without a key: the sheet can only become version
// 1, and the store rejects it if any configuration has been accepted.
func (a *API) authorise(r *http.Request) error {
	caller := contract.CallerFrom(r.Context())
	switch {
	case caller != nil && caller.Operator:
		return nil
	case caller != nil:
		return newError(http.StatusForbidden, typePermission, codeNoOperator, "The caller is no operator.")
	case a.config.Holder.Current() != nil:
		return newError(http.StatusUnauthorized, typeAuthentication, codeUnknownKey, "The request needs the key of an operator.")
	case r.Method == http.MethodPost && r.URL.Path == PathSheet:
		return nil
	}
	return notReadyError()
}

// writeError writes an error response. Details of platform errors are only logged.
func (a *API) writeError(w http.ResponseWriter, r *http.Request, err error) {
	e := toAPIError(err)
	if e.Status >= http.StatusInternalServerError {
		a.config.Log.Warn().Err(err).Str("path", r.URL.Path).Msg("operator request failed")
	}
	if r.Method == http.MethodGet || r.URL.Path == PathDiff {
		e.Executed, e.ReadOnly = "", true
	}
	metric.Refused("entry", "", "operator", e.Code)
	apierror.Write(w, e)
}

// outcomePollInterval and outcomePollDuration bound the reads after an acceptance
// with an unknown outcome. A write that the platform delays can take effect after
// the response has been sent.
const (
	outcomePollInterval = time.Second
	outcomePollDuration = 2 * time.Minute
)

// Run polls the store after an acceptance with an unknown outcome. If the version
// was accepted, it is then in force within the propagation bound instead of after
// the slow poll. Run returns when ctx ends.
func (a *API) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.unknownOutcome:
			a.pollOutcome(ctx)
		}
	}
}

// pollOutcome polls until the platform has been reachable for a total of
// outcomePollDuration.
func (a *API) pollOutcome(ctx context.Context) {
	tick := time.NewTicker(outcomePollInterval)
	defer tick.Stop()
	for reachableFor := time.Duration(0); reachableFor < outcomePollDuration; {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if _, err := a.refresh(ctx); err == nil {
			reachableFor += outcomePollInterval
		}
	}
}

// refresh loads a newer configuration, if there is one, into the holder and
// returns the holder's configuration, or nil if it has none. An error means that
// the store was not read, so the returned configuration may be old.
func (a *API) refresh(ctx context.Context) (*contract.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	doc, err := a.config.Store.LoadNewer(ctx, a.config.Holder.Version())
	if err == nil && doc != nil {
		a.config.Holder.SetIfNewer(doc)
	}
	if ix := a.config.Holder.Current(); ix != nil {
		return ix.Document, err
	}
	return nil, err
}

// readBody reads a request body of at most limit bytes within bodyTimeout.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		intake.Close(w, r)
		return nil, tooLarge(limit)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout)) // not every ResponseWriter supports deadlines
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	// Without the reset the server would treat the expired deadline as a lost connection.
	_ = rc.SetReadDeadline(time.Time{})
	var exceeded *http.MaxBytesError
	switch {
	case errors.As(err, &exceeded):
		return nil, tooLarge(limit)
	case errors.Is(err, intake.ErrExhausted):
		e := newError(http.StatusServiceUnavailable, typeServer, codeNoMemory, "The instance has no memory left for the body.")
		e.RetryAfter = retryAfter
		return nil, e
	case errors.Is(err, intake.ErrDropped):
		return nil, newError(http.StatusRequestTimeout, typeInvalid, codeBodyTooSlow, "The body arrived too slowly.")
	case err != nil:
		return nil, newError(http.StatusBadRequest, typeInvalid, codeBodyRead, "The body did not arrive whole.")
	}
	return body, nil
}

func tooLarge(limit int64) error {
	return newError(http.StatusRequestEntityTooLarge, typeInvalid, codeTooLarge,
		"The body is larger than "+strconv.FormatInt(limit, 10)+" bytes.")
}

func writeJSON(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the operator may have disconnected
	return nil
}
