// Package operator serves the operator API of an entry: acceptance of sheets
// and of small changes between them, the configuration in force, its history
// and how far it has spread.
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

// VersionHeader gives the version of the configuration in an answer.
const VersionHeader = "X-Config-Version"

// Limits of one request.
const (
	// acceptTimeout bounds the retries of an acceptance. A client that waits
	// longer than this gets an answer, even when the outcome is open.
	acceptTimeout = 10 * time.Second
	// readTimeout bounds reads that can fall back to the entry's own configuration.
	readTimeout = 2 * time.Second
	// bodyTimeout bounds the arrival of a body; the largest sheet takes it at 0.6 MB/s.
	bodyTimeout = 30 * time.Second
)

// Config of an API.
type Config struct {
	ID     string // of the entry
	Store  *contract.Store
	Holder *contract.Holder
	Fleet  link.Fleet
	// PossiblyStale reports whether no source has confirmed the entry's
	// configuration lately; nil means that it is not known.
	PossiblyStale func() bool
	Log           zerolog.Logger
}

// API serves the operator paths of one entry. It takes the caller from
// contract.CallerFrom.
type API struct {
	config  Config
	unclear chan struct{} // has a value after an acceptance with an open outcome
}

// New returns the API of an entry. Run must run beside its handler.
func New(config Config) *API {
	return &API{config: config, unclear: make(chan struct{}, 1)}
}

type handler func(w http.ResponseWriter, r *http.Request) error

// methods are the handlers of one path.
type methods map[string]handler

// Handler returns the routes under /operator/v1.
func (a *API) Handler() http.Handler {
	routes := map[string]methods{
		PathSheet:   {http.MethodPost: a.putSheet, http.MethodGet: a.getSheet},
		PathChange:  {http.MethodPost: a.putChange},
		PathDiff:    {http.MethodPost: a.diff},
		PathHistory: {http.MethodGet: a.history},
		PathStatus:  {http.MethodGet: a.status},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := a.serve(w, r, routes[r.URL.Path]); err != nil {
			a.refuse(w, r, err)
		}
	})
}

// serve checks path, method and caller.
func (a *API) serve(w http.ResponseWriter, r *http.Request, path methods) error {
	if path == nil {
		return refusal(http.StatusNotFound, typeNotFound, codeUnknownPath, "The path is not known.")
	}
	h := path[r.Method]
	if h == nil {
		allowed := strings.Join(slices.Sorted(maps.Keys(path)), ", ")
		w.Header().Set("Allow", allowed)
		return refusal(http.StatusMethodNotAllowed, typeInvalid, codeMethod, "The path allows only "+allowed+".")
	}
	if err := a.authorise(r); err != nil {
		return err
	}
	return h(w, r)
}

// authorise admits operators. While the entry has no configuration there are
// no callers, so a sheet is admitted without one: it can only become version 1,
// and the store refuses it when any configuration has been accepted.
func (a *API) authorise(r *http.Request) error {
	caller := contract.CallerFrom(r.Context())
	switch {
	case caller != nil && caller.Operator:
		return nil
	case caller != nil:
		return refusal(http.StatusForbidden, typePermission, codeNoOperator, "The caller is no operator.")
	case a.config.Holder.Current() != nil:
		return refusal(http.StatusUnauthorized, typeAuthentication, codeUnknownKey, "The request needs the key of an operator.")
	case r.Method == http.MethodPost && r.URL.Path == PathSheet:
		return nil
	}
	return notReady()
}

// refuse writes an error. Details of the platform's errors are only logged.
func (a *API) refuse(w http.ResponseWriter, r *http.Request, err error) {
	e := errorOf(err)
	if e.Status >= http.StatusInternalServerError {
		a.config.Log.Warn().Err(err).Str("path", r.URL.Path).Msg("operator request failed")
	}
	if r.Method == http.MethodGet || r.URL.Path == PathDiff {
		e.Executed = ""
	}
	metric.Refused("entry", "", "operator", e.Code)
	apierror.Write(w, e)
}

// followPause and followFor bound the reads after an acceptance whose outcome
// is open. A write that the platform delays can take effect after the answer.
const (
	followPause = time.Second
	followFor   = 2 * time.Minute
)

// Run looks for versions whose acceptance ended with an open outcome, so that
// an accepted one is in force within the bound instead of after the slow poll.
// It returns when ctx ends.
func (a *API) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.unclear:
			a.follow(ctx)
		}
	}
}

// follow reads until the platform has answered for followFor.
func (a *API) follow(ctx context.Context) {
	tick := time.NewTicker(followPause)
	defer tick.Stop()
	for answered := time.Duration(0); answered < followFor; {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if _, err := a.refresh(ctx); err == nil {
			answered += followPause
		}
	}
}

// refresh loads a newer configuration into the holder and returns the one in
// force, nil without any. After an error it returns the holder's.
func (a *API) refresh(ctx context.Context) (*contract.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	doc, err := a.config.Store.LoadNewer(ctx, a.config.Holder.Version())
	if err == nil && doc != nil {
		a.config.Holder.Offer(doc)
	}
	if ix := a.config.Holder.Current(); ix != nil {
		return ix.Document, err
	}
	return nil, err
}

// readBody reads a whole body within bodyTimeout.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout)) // not supported by every writer
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	// Without the reset the server would take the deadline for a lost connection.
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refusal(http.StatusRequestEntityTooLarge, typeInvalid, codeTooLarge,
			"The body is larger than "+strconv.FormatInt(limit, 10)+" bytes.")
	case err != nil:
		return nil, refusal(http.StatusBadRequest, typeInvalid, codeBodyRead, "The body did not arrive whole.")
	}
	return body, nil
}

func writeJSON(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the operator may be gone
	return nil
}
