package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"reflect"
	"sync/atomic"
	"testing"
)

// subsetRunner counts the calls of SubsetRefused.
type subsetRunner struct {
	*fakeRunner
	reports atomic.Int32
}

func (r *subsetRunner) SubsetRefused(service string) {
	if service == "assistant" || service == "orders" {
		r.reports.Add(1)
	}
}

// Guards against an entry that stays with its subset of agents when all of them refuse
// or are lost, and against one that links to more agents without need.
func TestRefusedSubsetIsReported(t *testing.T) {
	lost := func(r *fakeRunner) {
		for i := range r.upstreams {
			r.upstreams[i].Connected = false
		}
	}
	for name, c := range map[string]struct {
		script []attemptScript
		change func(*fakeRunner)
		status int
		want   int32
	}{
		"healthy":     {status: http.StatusOK},
		"one refuses": {script: []attemptScript{{fault: refused}}, status: http.StatusOK},
		"all refuse":  {script: []attemptScript{{fault: refused}, {fault: refused}}, status: http.StatusServiceUnavailable, want: 1},
		"all lost":    {change: lost, status: http.StatusServiceUnavailable, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := &subsetRunner{fakeRunner: newRunner(2, c.script...)}
			if c.change != nil {
				c.change(r.fakeRunner)
			}
			w := call(newTestEntry(r), http.MethodPost, "/v1/chat/completions", chatBody)
			if w.Code != c.status || r.reports.Load() != c.want {
				t.Errorf("status %d, %d reports, want %d and %d: %s", w.Code, r.reports.Load(), c.status, c.want, w.Body)
			}
		})
	}
}

// Guards against a readiness response that does not show lost links.
func TestReadinessCountsLinks(t *testing.T) {
	r := newRunner(3)
	r.upstreams[1].Connected = false
	e := newTestEntry(r)
	w := call(e, http.MethodGet, "/readyz", "")
	var got readiness
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatal(errors.Join(err, errors.New(w.Body.String())))
	}
	want := []serviceLinks{{"assistant", 3, 2}, {"orders", 3, 2}}
	if !reflect.DeepEqual(got.Links, want) {
		t.Errorf("links %+v, want %+v", got.Links, want)
	}
	if n := e.countConnectedLinks(); n != 4 {
		t.Errorf("%d connected links, want 4", n)
	}
}
