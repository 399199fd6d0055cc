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

// keyVariable holds the key, so that it does not show in the list of processes.
const keyVariable = "MAGNOLIAUSHER_KEY"

// Flags of the commands that call entries.
const (
	flagEntry = "entry"
	flagKey   = "key"
)

func remoteFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: flagEntry, Required: true,
			Usage: "address of an entry or load balancer, e.g. 10.0.0.1:8080; repeated ones are tried in turn",
		},
		&cli.StringFlag{
			Name: flagKey, Sources: cli.EnvVars(keyVariable),
			Usage: "the caller's key",
		},
	}, more...)
}

// remoteClient returns an HTTP client that tries the entries of the command
// line in turn, and the base URL to call it with.
func remoteClient(c *cli.Command) (*http.Client, string, error) {
	var entries []*url.URL
	for _, text := range c.StringSlice(flagEntry) {
		u, err := entryURL(text)
		if err != nil {
			return nil, "", err
		}
		entries = append(entries, u)
	}
	if len(entries) == 0 { // an empty value
		return nil, "", usageError{"--entry is required"}
	}
	return &http.Client{Transport: &failover{entries: entries, next: newTransport()}}, entries[0].String(), nil
}

// Limits of a call, after which the next entry is tried. An entry answers an
// acceptance within 13 s even when the platform is down.
const (
	dialTimeout   = 5 * time.Second
	answerTimeout = 30 * time.Second // from the end of the request to the first byte of the answer
)

func newTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	t.ResponseHeaderTimeout = answerTimeout
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

// failover sends requests to one entry and changes to the next one after a
// failure. A request that could not connect is sent to the next one at once;
// after other failures the entry may have run it, so its sender decides.
type failover struct {
	entries []*url.URL
	next    http.RoundTripper

	mu      sync.Mutex
	current int // index of the entry in use
}

// RoundTrip sends a request to the entry in use instead of the request's host.
func (f *failover) RoundTrip(r *http.Request) (*http.Response, error) {
	var failures []error
	for range f.entries {
		at, entry := f.entry()
		resp, err := f.next.RoundTrip(redirected(r, entry))
		if err != nil || resp.StatusCode >= http.StatusInternalServerError {
			f.leave(at)
		}
		var dial *net.OpError
		if err == nil || !errors.As(err, &dial) || dial.Op != "dial" {
			return resp, err
		}
		failures = append(failures, err)
	}
	return nil, errors.Join(failures...)
}

// redirected keeps the body open, because it is still whole after a failed dial.
func redirected(r *http.Request, entry *url.URL) *http.Request {
	out := r.Clone(r.Context())
	out.URL.Scheme, out.URL.Host, out.Host = entry.Scheme, entry.Host, entry.Host
	if r.Body != nil && r.Body != http.NoBody {
		out.Body = io.NopCloser(r.Body)
	}
	return out
}

func (f *failover) entry() (int, *url.URL) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.entries[f.current]
}

// leave changes to the next entry, unless another request already has.
func (f *failover) leave(at int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == at {
		f.current = (at + 1) % len(f.entries)
	}
}

// named gives the findings of an answer the file's name and makes them the
// command's error, so that it exits with ExitFindings.
func named(file string, err error) error {
	var ofOperator *operatorclient.Error
	var ofJobs *jobclient.Error
	var findings finding.List
	switch {
	case errors.As(err, &ofOperator):
		findings = ofOperator.Findings
	case errors.As(err, &ofJobs):
		findings = ofJobs.Findings
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
