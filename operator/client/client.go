// Package client calls the operator API of an entry.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/apiclient"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/operator"
)

// Client calls one entry, or several behind a load balancer.
type Client struct {
	BaseURL string // e.g. http://10.0.0.1:8080
	Key     string // API key of an operator
	HTTP    *http.Client
}

// Error is a response with an error status.
type Error struct {
	*apiclient.StatusError
	Details operator.ErrorDetails
}

// Error returns the code and message, then one finding or difference per line.
func (e *Error) Error() string {
	lines := []string{e.StatusError.Error()}
	lines = appendChanges(lines, "From the version in force to the refused one:", e.Details.Difference)
	lines = appendChanges(lines, "From the base to the version in force:", e.Details.SinceBase)
	if e.Code == operator.CodeOutcomeUnknown {
		lines = append(lines, fmt.Sprintf("change id %s, base %d", e.Details.ChangeID, e.Details.Base))
	}
	return strings.Join(lines, "\n")
}

func appendChanges(lines []string, title string, changes []contract.Change) []string {
	if len(changes) == 0 {
		return lines
	}
	lines = append(lines, title)
	for _, c := range changes {
		lines = append(lines, "  "+c.String())
	}
	return lines
}

// ApplyOptions identifies a change and its base.
type ApplyOptions struct {
	Base     uint64 // used only if HasBase is set; otherwise the version in force is the base
	HasBase  bool
	ChangeID string // random if empty
}

// Apply submits a sheet for acceptance.
func (c *Client) Apply(ctx context.Context, sheet []byte, a ApplyOptions) (*operator.AcceptResponse, error) {
	path := operator.PathSheet
	if a.HasBase {
		path += "?base=" + strconv.FormatUint(a.Base, 10)
	}
	if a.ChangeID == "" {
		a.ChangeID = uuid.NewString()
	}
	return call[operator.AcceptResponse](ctx, c, http.MethodPost, path, sheet, a.ChangeID)
}

// Change submits a small change. An empty change id is replaced by a random one.
func (c *Client) Change(ctx context.Context, change operator.Change, changeID string) (*operator.AcceptResponse, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if changeID == "" {
		changeID = uuid.NewString()
	}
	return call[operator.AcceptResponse](ctx, c, http.MethodPost, operator.PathChange, body, changeID)
}

// Diff compares a sheet with the configuration in force and changes nothing.
func (c *Client) Diff(ctx context.Context, sheet []byte) (*operator.DiffResponse, error) {
	return call[operator.DiffResponse](ctx, c, http.MethodPost, operator.PathDiff, sheet, "")
}

// Document returns the configuration in force.
func (c *Client) Document(ctx context.Context) (*contract.Document, error) {
	return call[contract.Document](ctx, c, http.MethodGet, operator.PathSheet, nil, "")
}

// History returns the most recently accepted versions, newest first.
func (c *Client) History(ctx context.Context, limit int) (*operator.HistoryResponse, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	return call[operator.HistoryResponse](ctx, c, http.MethodGet, operator.PathHistory+"?"+query.Encode(), nil, "")
}

// Status returns the rollout status of the configuration.
func (c *Client) Status(ctx context.Context) (*operator.Status, error) {
	return call[operator.Status](ctx, c, http.MethodGet, operator.PathStatus, nil, "")
}

// call sends a request and retries it after failures that may be temporary. Every
// request may be repeated: reads change nothing and acceptances carry a change id.
func call[T any](ctx context.Context, c *Client, method, path string, body []byte, changeID string) (*T, error) {
	api := &apiclient.Client{BaseURL: c.BaseURL, Key: c.Key, HTTP: c.HTTP}
	response, err := apiclient.Call[T](ctx, api, method, path, "", body, changeID)
	var statusErr *apiclient.StatusError
	if !errors.As(err, &statusErr) {
		return response, err
	}
	e := &Error{StatusError: statusErr}
	if len(statusErr.Details) > 0 {
		_ = json.Unmarshal(statusErr.Details, &e.Details) // details of another form are dropped; the code and message remain
	}
	return nil, e
}
