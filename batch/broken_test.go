package batch_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/batch"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/platform/platformtest"
)

// Guards against cutting the runs of an engine that is slow but sound.
func TestSlowEngineRunsItemsOnce(t *testing.T) {
	store, e := newStore(t), newEngine(t, "e1")
	e.Events, e.Interval = 4, time.Second
	g := start(t, store, "a", 1, noPeers, e)
	if got := submit(t, g, submission("j", 2, 10)); got != batch.Accepted {
		t.Fatalf("got %v", got)
	}
	checkDone(t, awaitResults(t, g, "j", 10*time.Second), "j", 2, 4)
	for i := range 2 {
		if item := fmt.Sprint("j-", i); e.Runs(item) != 1 || e.Resumed(item) != 0 {
			t.Errorf("%s: %d runs, %d resumed", item, e.Runs(item), e.Resumed(item))
		}
	}
}

// Guards against items that hang at, or take wrong output from, an engine whose
// answers are no answers: comments without end, events without end, events that are
// out of order or cut. The items are done by the sound engine.
func TestEngineWithUnusableAnswers(t *testing.T) {
	for name, write := range map[string]func(w io.Writer, id string) error{
		"comments without end": func(w io.Writer, _ string) error {
			time.Sleep(50 * time.Millisecond)
			_, err := io.WriteString(w, ": wait\n\n")
			return err
		},
		"a line without end": func(w io.Writer, _ string) error {
			_, err := io.WriteString(w, strings.Repeat("x", 4096))
			return err
		},
		"the same event again": func(w io.Writer, id string) error {
			_, err := io.WriteString(w, platformtest.EventText(id, 1))
			return err
		},
		"cut in an event": func(w io.Writer, id string) error {
			_, _ = io.WriteString(w, platformtest.EventText(id, 1)+"id: 2\nda")
			return io.EOF
		},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				id := r.Header.Get(platformtest.RequestIDHeader)
				w.Header().Set(platformtest.RequestIDHeader, id)
				w.Header().Set(platformtest.SignatureHeader, "seal-"+id)
				w.Header().Set("Content-Type", "text/event-stream")
				for r.Context().Err() == nil {
					if err := write(w, id); err != nil {
						break
					}
					_ = http.NewResponseController(w).Flush()
				}
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}))
			t.Cleanup(broken.Close)
			store, e := newStore(t), newEngine(t, "e1")
			g := start(t, store, "a", 1, noPeers, e)
			g.holder.Replace([]fleet.Record{
				{Version: 1, Upstream: fleet.Upstream{ID: e.ID, Service: e.Service, Address: e.Address(), Slots: 4}},
				{Version: 2, Upstream: fleet.Upstream{ID: "broken", Service: e.Service, Address: strings.TrimPrefix(broken.URL, "http://"), Slots: 4, SoftwareVersion: e.Software}},
			}, 200, time.Now())
			if got := submit(t, g, submission("j", 6, 10)); got != batch.Accepted {
				t.Fatalf("got %v", got)
			}
			checkDone(t, awaitResults(t, g, "j", 20*time.Second), "j", 6, e.Events)
			if calls.Load() == 0 {
				t.Error("the broken engine got no item")
			}
		})
	}
}
