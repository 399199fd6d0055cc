package storage

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// Defaults and limits of the client.
const (
	DefaultTimeout     = 3 * time.Second
	defaultConnections = 64
	dialTimeout        = 1 * time.Second
	idleTimeout        = 30 * time.Second
	maxResponseBytes   = 64 << 20 // JSON responses; object bodies are not limited
	maxErrorBytes      = 64 << 10 // error responses
)

// ClientConfig configures a client of the platform.
type ClientConfig struct {
	// BaseURL is the address of the platform, e.g. http://10.0.0.1:9000.
	BaseURL string
	// Timeout limits one call, or the time without progress while an object body
	// is transferred.
	// 0 means DefaultTimeout.
	Timeout time.Duration
	// Connections limits the connections to the platform. 0 means 64.
	Connections int
	// Transport replaces the client's own transport, for tests.
	Transport http.RoundTripper
	// Log gets a line for each invalid entry of the instance list.
	Log zerolog.Logger
}

// Client calls the platform over HTTP with JSON bodies. It does not retry; wrap
// it with NewLimited for retries.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	commits *http.Client // makes a connection for each call: nothing in a refusal tells to which call it belongs
	log     zerolog.Logger
}

var _ Platform = (*Client)(nil)

// StatusError is an error response that none of the package's errors describes,
// such as a malformed request or a missing permission. Retrying does not help.
type StatusError struct {
	Status int
	Body   ErrorBody
}

// Error returns the status, code and message of the response.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform responded %d %s: %s", e.Status, e.Body.Code, e.Body.Message)
}

// NewClient returns a client for the platform at the configured address.
func NewClient(config ClientConfig) (*Client, error) {
	u, err := url.Parse(config.BaseURL)
	if err != nil {
		return nil, fmt.Errorf("parse platform base URL: %w", err)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, fmt.Errorf("platform base URL %q must have the scheme http or https and a host", config.BaseURL)
	}
	if config.Timeout <= 0 {
		config.Timeout = DefaultTimeout
	}
	if config.Connections <= 0 {
		config.Connections = defaultConnections
	}
	commits := config.Transport
	if config.Transport == nil {
		transport := newTransport(config.Connections)
		single := transport.Clone()
		single.DisableKeepAlives = true
		config.Transport, commits = transport, single
	}
	return &Client{
		base:    strings.TrimRight(config.BaseURL, "/"),
		timeout: config.Timeout,
		log:     config.Log,
		http:    &http.Client{Transport: config.Transport, CheckRedirect: disableRedirects},
		commits: &http.Client{Transport: commits, CheckRedirect: disableRedirects},
	}, nil
}

func newTransport(connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
	}
}

// disableRedirects disables redirects, on which net/http would resend a write to
// another address.
func disableRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.call(ctx, http.MethodGet, PathRow, url.Values{ParamKey: {key}}, nil, &row)
	return row, err
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var body ScanBody
	err := c.call(ctx, http.MethodGet, PathScan, rangeQuery(prefix, after, limit), nil, &body)
	return body.Rows, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, tx Transaction) ([]uint64, error) {
	encoded, err := json.Marshal(tx)
	if err != nil {
		return nil, fmt.Errorf("encode transaction: %w", err)
	}
	var body CommitBody
	if err := c.call(ctx, http.MethodPost, PathCommit, nil, encoded, &body); err != nil {
		return nil, err
	}
	if len(body.Versions) != len(tx.Writes) {
		return nil, fmt.Errorf("%w: response has %d versions for %d writes", ErrUnavailable, len(body.Versions), len(tx.Writes))
	}
	return body.Versions, nil
}

// Instances implements InstanceList.
func (c *Client) Instances(ctx context.Context, since uint64) ([]Instance, uint64, error) {
	var data rawBody
	query := url.Values{ParamSince: {strconv.FormatUint(since, 10)}}
	if err := c.call(ctx, http.MethodGet, PathInstances, query, nil, &data); err != nil {
		return nil, 0, err
	}
	body, err := decodeInstances(data, func(err error) {
		c.log.Warn().Err(err).Msg("ignoring invalid entry of the instance list")
	})
	if err != nil {
		return nil, 0, c.transportError(ctx, fmt.Errorf("decode instance list: %w", err))
	}
	if body.Unchanged {
		return nil, body.Revision, nil
	}
	if body.Instances == nil {
		body.Instances = []Instance{} // a nil list would mean that it is unchanged
	}
	return body.Instances, body.Revision, nil
}

// Objects implements Platform.
func (c *Client) Objects() Objects { return (*clientObjects)(c) }

func rangeQuery(prefix, after string, limit int) url.Values {
	return url.Values{ParamPrefix: {prefix}, ParamAfter: {after}, ParamLimit: {strconv.Itoa(limit)}}
}

// rawBody as the result of a call takes the response without decoding it.
type rawBody []byte

// call sends one request with a JSON body and decodes the JSON response into result.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := c.newRequest(ctx, method, path, query, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := c.http
	if path == PathCommit {
		client = c.commits
	}
	resp, err := client.Do(req)
	if err != nil {
		return c.transportError(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return statusError(resp)
	}
	if result == nil {
		return nil
	}
	if raw, ok := result.(*rawBody); ok {
		data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
		if err != nil {
			return c.transportError(ctx, fmt.Errorf("read response: %w", err))
		}
		*raw = data
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(result); err != nil {
		return c.transportError(ctx, fmt.Errorf("decode response: %w", err))
	}
	return nil
}

func (c *Client) newRequest(ctx context.Context, method, path string, query url.Values, body io.Reader) (*http.Request, error) {
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, fmt.Errorf("create platform request: %w", err)
	}
	return req, nil
}

// transportError returns the error of a call without a complete response. After
// a timeout it also closes the idle connections: connections tend to become
// unresponsive together, while new ones work.
func (c *Client) transportError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.http.CloseIdleConnections()
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// statusError maps an error response to the package's errors.
func statusError(resp *http.Response) error {
	var body ErrorBody
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&body) // the body of a proxy's error is not JSON
	switch {
	case resp.StatusCode == http.StatusNotFound && body.Code == CodeNotFound:
		return ErrNotFound
	case resp.StatusCode == http.StatusConflict && body.Code == CodeConflict:
		return ErrConflict
	case resp.StatusCode == http.StatusTooManyRequests:
		return ErrThrottled
	case resp.StatusCode >= 500 || resp.StatusCode == http.StatusRequestTimeout:
		return fmt.Errorf("%w: status %d: %s", ErrUnavailable, resp.StatusCode, body.Message)
	}
	return &StatusError{Status: resp.StatusCode, Body: body}
}
