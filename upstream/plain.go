package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// PlainConfig configures a PlainClient.
type PlainConfig struct {
	BaseURL         string        // a trailing slash is ignored
	HealthPath      string        // empty means /healthz
	ProgressTimeout time.Duration // maximum time without receiving a byte; 0 means DefaultProgressTimeout
	DialTimeout     time.Duration // 0 means DefaultDialTimeout
	Dial            DialFunc      // nil dials TCP
}

// PlainClient is the HTTP client of a plain service. It opens a connection for
// each call, never retries a call and does not follow redirects.
type PlainClient struct {
	cfg       PlainConfig
	transport *http.Transport
}

var _ PlainService = (*PlainClient)(nil)

// NewPlainClient returns a client. It does not open a connection.
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

// Call sends one request; path may include a query. Hop-by-hop headers are
// removed in both directions. Its errors are ErrNotSent, ErrCrashed,
// ErrProgressTimeout and the cause of the cancellation of ctx. Responses of any
// status are returned, and the caller must close the body. Reading the body
// returns ErrTruncated if it ends before its Content-Length or its last chunk, and
// may return ErrCrashed or ErrProgressTimeout. A response that is neither chunked
// nor has a length ends with its connection, so truncation cannot be detected once its
// body has begun; a 2xx one that ends before is ErrTruncated.
func (c *PlainClient) Call(ctx context.Context, method, path string, header http.Header, body io.Reader) (*http.Response, error) {
	x := newExchange(ctx, c.cfg.ProgressTimeout)
	req, err := http.NewRequestWithContext(x.ctx, method, c.cfg.BaseURL+path, body)
	if err != nil {
		x.cancel(err)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	copyEndToEndHeaders(req.Header, header)
	resp, err := x.do(c.transport, req)
	if err != nil {
		return nil, err
	}
	endsWithConnection := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
	resp.Body = &responseBody{body: resp.Body, exchange: x, truncationErr: ErrTruncated,
		mustBegin: endsWithConnection && resp.StatusCode/100 == 2}
	removeHopByHopHeaders(resp.Header)
	return resp, nil
}

// removeHopByHopHeaders removes the headers that apply only to the connection to
// the service, so that the rest can be passed on.
func removeHopByHopHeaders(header http.Header) {
	all := header.Clone()
	for name := range all {
		if name != "Content-Length" && isHopByHop(name, all) {
			header.Del(name)
		}
	}
}

// copyEndToEndHeaders copies all headers except hop-by-hop ones.
func copyEndToEndHeaders(to, from http.Header) {
	to["User-Agent"] = nil // keeps net/http from adding its default
	for name, values := range from {
		if !isHopByHop(name, from) {
			to[name] = append([]string(nil), values...)
		}
	}
}

func isHopByHop(name string, all http.Header) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host":
		return true
	}
	for _, value := range all["Connection"] {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}

// Healthy returns nil if the service's health path returns a 2xx status.
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
