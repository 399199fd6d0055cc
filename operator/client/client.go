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

// Client calls one entry or the load balancer before several.
type Client struct {
	BaseURL string // e.g. http://10.0.0.1:8080
	Key     string // of an operator
	HTTP    *http.Client
}

// Error is an answer with an error status.
type Error struct {
	*apiclient.StatusError
	Details operator.ErrorDetails
}

// Error gives code and message, then one finding or difference per line.
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

// ApplyOptions names a change and its base.
type ApplyOptions struct {
	Base     uint64 // used when HasBase is set, else the version in force is
	HasBase  bool
	ChangeID string // made up when empty
}

// Apply sends a sheet.
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

// Change sends a small change. An empty change id is replaced by a random one.
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

// Diff compares a sheet with the configuration in force.
func (c *Client) Diff(ctx context.Context, sheet []byte) (*operator.DiffResponse, error) {
	return call[operator.DiffResponse](ctx, c, http.MethodPost, operator.PathDiff, sheet, "")
}

// Document returns the configuration in force.
func (c *Client) Document(ctx context.Context) (*contract.Document, error) {
	return call[contract.Document](ctx, c, http.MethodGet, operator.PathSheet, nil, "")
}

// History returns the last accepted versions, the newest first.
func (c *Client) History(ctx context.Context, limit int) (*operator.HistoryResponse, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	return call[operator.HistoryResponse](ctx, c, http.MethodGet, operator.PathHistory+"?"+query.Encode(), nil, "")
}

// Status returns how far the configuration has spread.
func (c *Client) Status(ctx context.Context) (*operator.Status, error) {
	return call[operator.Status](ctx, c, http.MethodGet, operator.PathStatus, nil, "")
}

// call sends a request until it gets an answer that another try can't better.
// Every request may be repeated: reads change nothing and acceptances carry a
// change id.
func call[T any](ctx context.Context, c *Client, method, path string, body []byte, changeID string) (*T, error) {
	api := &apiclient.Client{BaseURL: c.BaseURL, Key: c.Key, HTTP: c.HTTP}
	answer, err := apiclient.Call[T](ctx, api, method, path, "", body, changeID)
	var refused *apiclient.StatusError
	if !errors.As(err, &refused) {
		return answer, err
	}
	e := &Error{StatusError: refused}
	if len(refused.Details) > 0 {
		_ = json.Unmarshal(refused.Details, &e.Details) // of another form: the code and message stand
	}
	return nil, e
}
