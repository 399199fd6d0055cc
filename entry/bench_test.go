package entry

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/magnoliausher/magnoliausher/link"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// benchTokens is the number of tokens of a response in BenchmarkTokens.
const benchTokens = 100

// benchRunner responds without delay. Attempts of requests with the text "held" wait
// until hold is closed.
type benchRunner struct {
	upstreams []link.Upstream
	hold      chan struct{}
	held      chan struct{}
	tokens    int
}

func (r *benchRunner) Upstreams(string) []link.Upstream    { return r.upstreams }
func (r *benchRunner) Probe(context.Context, string) error { return nil }
func (r *benchRunner) Run(ctx context.Context, _ string, req *rpc.RunRequest) (link.Stream, error) {
	s := &benchStream{left: r.tokens}
	s.delta = rpc.RunEvent{AttemptId: req.AttemptId, Event: &rpc.RunEvent_Delta{Delta: &rpc.Delta{Text: "token ", Tokens: 1}}}
	s.end = rpc.RunEvent{AttemptId: req.AttemptId, Event: &rpc.RunEvent_End{End: &rpc.End{FinishReason: "stop"}}}
	if strings.Contains(string(req.Body), "held") {
		s.hold = r.hold
		r.held <- struct{}{}
	}
	return s, nil
}

type benchStream struct {
	delta, end rpc.RunEvent
	left       int
	hold       chan struct{} // nil for none
}

func (s *benchStream) Recv() (*rpc.RunEvent, error) {
	if s.hold != nil {
		<-s.hold
	}
	s.left--
	if s.left >= 0 {
		return &s.delta, nil
	}
	return &s.end, nil
}

func (s *benchStream) Close() error { return nil }

// discardWriter drops the response, so that only the entry's work is measured.
type discardWriter struct{ *httptest.ResponseRecorder }

func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }

func (r *benchRunner) serve(e *Entry, body string) {
	req := httptest.NewRequest("POST", pathChat, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+testKey)
	e.Handler().ServeHTTP(discardWriter{httptest.NewRecorder()}, req)
}

// BenchmarkRequest measures the overhead of the entry for a streamed request with one
// token while others are in progress.
func BenchmarkRequest(b *testing.B) { benchmarkStream(b, 1) }

// BenchmarkTokens measures the same with 100 tokens and reports the request's time
// divided by the number of tokens.
func BenchmarkTokens(b *testing.B) { benchmarkStream(b, benchTokens) }

// benchmarkStream measures a streamed request with the given number of tokens, for
// several numbers of other requests in progress.
func benchmarkStream(b *testing.B, tokens int) {
	for _, inProgress := range []int{1, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("in-progress=%d", inProgress), func(b *testing.B) {
			r := &benchRunner{upstreams: newRunner(12).Upstreams(""), hold: make(chan struct{}), held: make(chan struct{}), tokens: tokens}
			e := newTestEntry(r, func(c *Config) {
				c.EngineProgressTimeout = DefaultMaxDeadline
				c.Weights.StaleAfter = DefaultMaxDeadline
			})
			done := make(chan struct{})
			for range inProgress - 1 {
				go func() {
					r.serve(e, `{"model":"taller-1","stream":true,"messages":[{"role":"user","content":"held"}]}`)
					done <- struct{}{}
				}()
				<-r.held
			}
			b.ReportAllocs()
			for b.Loop() {
				r.serve(e, chatStreamBody)
			}
			if tokens > 1 {
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(tokens), "ns/token")
			}
			close(r.hold)
			for range inProgress - 1 {
				<-done
			}
		})
	}
}
