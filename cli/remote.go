package cli

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/magnoliausher/magnoliausher/finding"
	jobclient "github.com/magnoliausher/magnoliausher/job/client"
	operatorclient "github.com/magnoliausher/magnoliausher/operator/client"
)

// keyEnvVar names the environment variable that holds the caller key. Unlike a
// flag, it does not appear in the process list.
const keyEnvVar = "MAGNOLIAUSHER_KEY"

// Flags of the commands that call entries.
const (
	flagEntry = "entry"
	flagKey   = "key"
)

func remoteFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: flagEntry, Required: true,
			Usage: "address of an entry or load balancer, e.g. 10.0.0.1:8080; may be repeated for failover",
		},
		&cli.StringFlag{
			Name: flagKey, Sources: cli.EnvVars(keyEnvVar),
			Usage: "the caller's key",
		},
	}, extra...)
}

// remoteClient returns an HTTP client that fails over between the entries of the
// command line, and the base URL to call it with.
func remoteClient(c *cli.Command) (*http.Client, string, error) {
	var entries []*url.URL
	for _, text := range c.StringSlice(flagEntry) {
		u, err := entryURL(text)
		if err != nil {
			return nil, "", err
		}
		entries = append(entries, u)
	}
	if len(entries) == 0 { // the only value is empty
		return nil, "", usageError{"--entry is required"}
	}
	return &http.Client{Transport: &failover{entries: entries, transport: newTransport()}}, entries[0].String(), nil
}

// Timeouts of a call, after which the next entry is used. An entry responds to
// an acceptance request within 13 s even while the platform is down, and the
// response timeout must allow for that.
const (
	dialTimeout           = 5 * time.Second
	responseHeaderTimeout = 30 * time.Second // from the end of the request to the first byte of the response
)

func newTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	t.ResponseHeaderTimeout = responseHeaderTimeout
	return t
}

func entryURL(text string) (*url.URL, error) {
	full := text
	if !strings.Contains(text, "://") {
		full = "http://" + text
	}
	u, err := url.Parse(full)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") || strings.Trim(u.Path, "/") != "" {
		return nil, usageError{fmt.Sprintf("--%s %q must be an address with a port", flagEntry, text)}
	}
	return &url.URL{Scheme: u.Scheme, Host: u.Host}, nil
}

func operatorClient(c *cli.Command) (*operatorclient.Client, error) {
	h, base, err := remoteClient(c)
	if err != nil {
		return nil, err
	}
	return &operatorclient.Client{BaseURL: base, Key: c.String(flagKey), HTTP: h}, nil
}

func jobClient(c *cli.Command) (*jobclient.Client, error) {
	h, base, err := remoteClient(c)
	if err != nil {
		return nil, err
	}
	return &jobclient.Client{BaseURL: base, Key: c.String(flagKey), HTTP: h}, nil
}

// failover is an HTTP transport that sends requests to one entry and switches to
// the next one after a failure. A request that could not connect is retried on
// the next entry at once. After any other failure the entry may have executed
// the request, so the sender decides whether to send it again.
type failover struct {
	entries   []*url.URL
	transport http.RoundTripper

	mu      sync.Mutex
	current int // index of the entry in use
}

// RoundTrip sends the request to the current entry and ignores the request's host.
func (f *failover) RoundTrip(r *http.Request) (*http.Response, error) {
	var failures []error
	for range f.entries {
		index, entry := f.currentEntry()
		resp, err := f.transport.RoundTrip(withTarget(r, entry))
		if err != nil || resp.StatusCode >= http.StatusInternalServerError {
			f.advance(index)
		}
		var dialErr *net.OpError
		if err == nil || !errors.As(err, &dialErr) || dialErr.Op != "dial" {
			return resp, err
		}
		failures = append(failures, err)
	}
	return nil, errors.Join(failures...)
}

// withTarget returns a copy of the request that is addressed to the entry. The
// transport does not close the body through the copy, because after a failed dial
// the body is unread and is sent to the next entry.
func withTarget(r *http.Request, entry *url.URL) *http.Request {
	out := r.Clone(r.Context())
	out.URL.Scheme, out.URL.Host, out.Host = entry.Scheme, entry.Host, entry.Host
	if r.Body != nil && r.Body != http.NoBody {
		out.Body = io.NopCloser(r.Body)
	}
	return out
}

func (f *failover) currentEntry() (int, *url.URL) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.entries[f.current]
}

// advance switches to the next entry, unless another request has already done so.
func (f *failover) advance(failed int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == failed {
		f.current = (failed + 1) % len(f.entries)
	}
}

// withFileName returns the findings of an error response as the command's error,
// with the input file's name, so that the command exits with ExitInvalidInput.
// An error without findings is returned unchanged.
func withFileName(file string, err error) error {
	var operatorErr *operatorclient.Error
	var jobsErr *jobclient.Error
	var findings finding.List
	switch {
	case errors.As(err, &operatorErr):
		findings = operatorErr.Findings
	case errors.As(err, &jobsErr):
		findings = jobsErr.Findings
	}
	if len(findings) == 0 {
		return err
	}
	list := make(finding.List, 0, len(findings))
	for _, f := range findings {
		f.File = file
		list.Add(f)
	}
	return list
}
