package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// PlainConfig describes the client of a plain HTTP service.
type PlainConfig struct {
	BaseURL         string        // without a final slash
	HealthPath      string        // empty means /healthz
	ProgressTimeout time.Duration // longest wait without a byte; 0 means DefaultProgressTimeout
	DialTimeout     time.Duration // 0 means DefaultDialTimeout
	Dial            DialFunc      // nil dials TCP
}

// PlainClient is the HTTP client of a plain service. It dials a connection for
// each call, never repeats a call and follows no redirects.
type PlainClient struct {
	cfg       PlainConfig
	transport *http.Transport
}

var _ PlainService = (*PlainClient)(nil)

// NewPlainClient returns a client; it does not connect.
func NewPlainClient(cfg PlainConfig) *PlainClient {
	cfg.BaseURL = strings.TrimSuffix(cfg.BaseURL, "/")
	if cfg.HealthPath == "" {
		cfg.HealthPath = defaultHealthPath
	}
	setTimeouts(&cfg.ProgressTimeout, &cfg.DialTimeout)
	return &PlainClient{cfg: cfg, transport: newTransport(cfg.Dial, cfg.DialTimeout)}
}

const defaultHealthPath = "/healthz"

func setTimeouts(progress, dial *time.Duration) {
	if *progress <= 0 {
		*progress = DefaultProgressTimeout
	}
	if *dial <= 0 {
		*dial = DefaultDialTimeout
	}
}

// Call sends one request; path may hold a query. Headers of single connections
// are dropped in both directions. Its errors are ErrNotSent,
// ErrCrashed, ErrProgressTimeout or the cause of the end of ctx. An answer of any status
// is returned; the caller closes its body, which reports ErrTruncated when it
// ends before its length or its last chunk, ErrCrashed and ErrProgressTimeout. An answer
// with neither a length nor chunks ends with its connection, so that a truncated
// one cannot be told from a whole one.
func (c *PlainClient) Call(ctx context.Context, method, path string, header http.Header, body io.Reader) (*http.Response, error) {
	x := newExchange(ctx, c.cfg.ProgressTimeout)
	req, err := http.NewRequestWithContext(x.ctx, method, c.cfg.BaseURL+path, body)
	if err != nil {
		x.cancel(err)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	copyEndToEnd(req.Header, header)
	resp, err := x.do(c.transport, req)
	if err != nil {
		return nil, err
	}
	resp.Body = &answerBody{body: resp.Body, x: x, truncated: ErrTruncated}
	dropHopByHop(resp.Header)
	return resp, nil
}

// dropHopByHop removes the headers of the connection to the service, so that
// the others can be passed on.
func dropHopByHop(header http.Header) {
	all := header.Clone()
	for name := range all {
		if name != "Content-Length" && hopByHop(name, all) {
			header.Del(name)
		}
	}
}

// copyEndToEnd copies headers except those that concern a single connection.
func copyEndToEnd(to, from http.Header) {
	to["User-Agent"] = nil // net/http adds its own to a request without the field
	for name, values := range from {
		if !hopByHop(name, from) {
			to[name] = append([]string(nil), values...)
		}
	}
}

func hopByHop(name string, all http.Header) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host":
		return true
	}
	for _, value := range all["Connection"] {
		for listed := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(listed), name) {
				return true
			}
		}
	}
	return false
}

// Healthy returns nil when the service answers its health path with a 2xx status.
func (c *PlainClient) Healthy(ctx context.Context) error {
	resp, err := c.Call(ctx, http.MethodGet, c.cfg.HealthPath, nil, nil)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return statusError(resp)
	}
	return resp.Body.Close()
}
