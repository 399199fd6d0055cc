package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/fleet"
)

// pausingUpstreams answer with a stream of events and are silent for a time before the
// header and before each event.
type pausingUpstreams struct {
	t      *testing.T
	events int
	// pauses returns the silence of an upstream before event n, 0 for the header.
	pauses  func(upstream string, n int) time.Duration
	calls   []string
	active  int // calls that may still run
	resumed []string
}

func (s *pausingUpstreams) Call(ctx context.Context, u *fleet.Upstream, c *Call) (*Response, error) {
	if s.active > 0 {
		s.t.Errorf("%s is called while %v work on the stream", u.ID, s.calls)
	}
	s.active++
	s.calls, s.resumed = append(s.calls, u.ID), append(s.resumed, c.ResumeAfter)
	if !pauseFor(ctx, s.pauses(u.ID, 0)) {
		s.active--
		return nil, ctx.Err()
	}
	first := 1
	if c.ResumeAfter != "" {
		if _, err := fmt.Sscan(c.ResumeAfter, &first); err != nil {
			return nil, err
		}
		first++
	}
	read, write := io.Pipe()
	go func() {
		for n := first; n <= s.events; n++ {
			if !pauseFor(ctx, s.pauses(u.ID, n)) {
				_ = write.CloseWithError(ctx.Err()) // always nil
				return
			}
			if _, err := io.WriteString(write, eventText(n)); err != nil {
				return
			}
		}
		_ = write.Close() // always nil
	}()
	return &Response{Status: 200, Signed: true, EventStream: true, Header: http.Header{}, Body: &pausingBody{read, s}}, nil
}

type pausingBody struct {
	io.ReadCloser
	s *pausingUpstreams
}

func (b *pausingBody) Close() error {
	b.s.active--
	return b.ReadCloser.Close()
}

func pauseFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", n) }

func wholeStream(events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(eventText(n))
	}
	return b.String()
}

// streamBench is a forwarder with upstreams of one slot each.
type streamBench struct {
	t          *testing.T
	holder     *fleet.Holder
	dispatcher *dispatch.Dispatcher
	upstreams  []string
	origins    Origins // nil for none
}

func newStreamBench(t *testing.T, upstreams ...string) *streamBench {
	b := &streamBench{t: t, holder: fleet.NewHolder(), upstreams: upstreams}
	b.holder.Configure(fleet.NewConfiguration(1, nil, fleet.Limits{}))
	var records []fleet.Record
	for i, id := range upstreams {
		records = append(records, fleet.Record{Version: uint64(i + 1), Upstream: fleet.Upstream{ID: id, Service: "s", Slots: 1}})
	}
	b.holder.Replace(records, 10, time.Now())
	b.dispatcher = dispatch.New(dispatch.Config{Self: "g", Holder: b.holder, Random: rand.New(rand.NewPCG(1, 1))})
	return b
}

// occupy takes a slot of an upstream that is free.
func (b *streamBench) occupy() *dispatch.Grant {
	b.t.Helper()
	g, err := b.dispatcher.Acquire(b.t.Context(), &dispatch.Request{Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)})
	if err != nil {
		b.t.Fatal(err)
	}
	return g
}

func (b *streamBench) serve(s *pausingUpstreams, maxAttempts int, timeout time.Duration) result {
	b.t.Helper()
	f := New(Config{Dispatcher: b.dispatcher, Upstreams: s, CrashTracker: fakeCrashTracker{}, Origins: b.origins, Log: zerolog.Nop()})
	w := httptest.NewRecorder()
	o := result{}
	func() {
		defer func() {
			if r := recover(); r != nil {
				if err, ok := r.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
					panic(r)
				}
				o.aborted = true
			}
		}()
		f.Serve(b.t.Context(), w, &Request{Call: Call{ID: "r"}, Service: "s", Arrived: time.Now(), CallerTimeout: timeout,
			Route: &fleet.Route{Kind: fleet.Stream, Resumable: true, MaxAttempts: maxAttempts}})
	}()
	o.status, o.body = w.Code, w.Body.String()
	return o
}

// checkIdle checks that no slot is held.
func (b *streamBench) checkIdle() {
	b.t.Helper()
	synctest.Wait()
	if load := b.dispatcher.ServiceLoad("s"); load.InUse != 0 || load.Waiting != 0 {
		b.t.Errorf("at the end %d slots are held and %d requests wait", load.InUse, load.Waiting)
	}
}

// Guards against a stream that is cut or refused because its only upstream, or the only one
// with a free slot, was silent for a while.
func TestSilentUpstreamGoesOnIfNoOtherIsFree(t *testing.T) {
	const pause = 1500 * time.Millisecond
	for _, upstreams := range [][]string{{"a"}, {"a", "b"}} {
		for _, silentAt := range []int{0, 1, 3} {
			t.Run(fmt.Sprint(upstreams, " silent before ", silentAt), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newStreamBench(t, upstreams...)
					var other *dispatch.Grant
					if len(upstreams) > 1 {
						other = b.occupy()
					}
					s := &pausingUpstreams{t: t, events: 5, pauses: func(_ string, n int) time.Duration {
						if n == silentAt {
							return pause
						}
						return 10 * time.Millisecond
					}}
					o := b.serve(s, 3, 5*time.Second)
					if o.status != 200 || o.aborted || o.body != wholeStream(5) || len(s.calls) != 1 {
						t.Errorf("status %d, aborted %v, %d events, calls %v", o.status, o.aborted, strings.Count(o.body, "id:"), s.calls)
					}
					if other != nil {
						other.Release(dispatch.Served)
					}
					b.checkIdle()
				})
			})
		}
	}
}

// Guards against a stream that is cut because its upstream was silent for a while and its
// service has no slot left: the upstream gets no new requests any more, or others wait.
func TestSilentUpstreamGoesOnIfNoSlotIsLeft(t *testing.T) {
	for name, end := range map[string]func(b *streamBench){
		"upstream left the list": func(b *streamBench) { b.holder.Replace(nil, 11, time.Now()) },
		"others wait": func(b *streamBench) {
			go func() {
				g := b.occupy()
				time.Sleep(10 * time.Second)
				g.Release(dispatch.Served)
			}()
		},
	} {
		for _, silentAt := range []int{0, 3} {
			t.Run(fmt.Sprint(name, " silent before ", silentAt), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newStreamBench(t, "a")
					time.AfterFunc(500*time.Millisecond, func() { end(b) })
					s := &pausingUpstreams{t: t, events: 5, pauses: func(_ string, n int) time.Duration {
						if n == silentAt {
							return 1500 * time.Millisecond
						}
						return 10 * time.Millisecond
					}}
					o := b.serve(s, 3, 5*time.Second)
					if o.status != 200 || o.aborted || o.body != wholeStream(5) {
						t.Errorf("status %d, aborted %v, %d events, calls %v", o.status, o.aborted, strings.Count(o.body, "id:"), s.calls)
					}
					time.Sleep(20 * time.Second)
					b.checkIdle()
				})
			})
		}
	}
}

// Guards against a stream that leaves a silent upstream for one of another version.
func TestSilentStreamStaysAtItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newStreamBench(t, "a", "b")
		b.holder.Apply([]fleet.Record{{Version: 11, Upstream: fleet.Upstream{ID: "a", Service: "s", Slots: 1, SoftwareVersion: "v1"}}}, time.Now())
		s := &pausingUpstreams{t: t, events: 5, pauses: func(_ string, n int) time.Duration {
			if n == 2 {
				return 3 * time.Second
			}
			return 10 * time.Millisecond
		}}
		o := b.serve(s, 3, 5*time.Second)
		if o.status != 200 || o.aborted || o.body != wholeStream(5) || len(s.calls) != 1 {
			t.Errorf("status %d, aborted %v, %d events, calls %v", o.status, o.aborted, strings.Count(o.body, "id:"), s.calls)
		}
		b.checkIdle()
	})
}

// Guards against a stream that stays with a silent upstream although a slot at another one
// is free, or becomes free, and against two upstreams that work on it side by side.
func TestSilentUpstreamIsLeftOnceAnotherIsFree(t *testing.T) {
	for _, freeAfter := range []time.Duration{0, 2 * time.Second, 3 * time.Second} {
		for _, silentAt := range []int{0, 3} {
			t.Run(fmt.Sprint("free after ", freeAfter, " silent before ", silentAt), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newStreamBench(t, "a", "b")
					if freeAfter > 0 {
						other := b.occupy()
						time.AfterFunc(freeAfter, func() { other.Release(dispatch.Served) })
					}
					first := ""
					s := &pausingUpstreams{t: t, events: 5}
					s.pauses = func(upstream string, n int) time.Duration {
						if first == "" {
							first = upstream
						}
						if upstream == first && n == silentAt {
							return time.Hour
						}
						return 10 * time.Millisecond
					}
					began := time.Now()
					o := b.serve(s, 2, 10*time.Second)
					took := time.Since(began)
					if o.status != 200 || o.aborted || o.body != wholeStream(5) || len(s.calls) != 2 || s.calls[0] == s.calls[1] {
						t.Errorf("status %d, aborted %v, %d events, calls %v", o.status, o.aborted, strings.Count(o.body, "id:"), s.calls)
					}
					if limit := max(freeAfter, StreamIdleTimeout) + 300*time.Millisecond; took > limit {
						t.Errorf("took %v, want at most %v", took, limit)
					}
					b.checkIdle()
				})
			})
		}
	}
}

// Guards against events that are lost, doubled or out of order, against a stream that is cut
// while its upstreams only pause, and against slots that are not given back, when upstreams
// pause, slots become free and are taken at any times.
func TestPausingUpstreams(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, seed))
				b := newStreamBench(t, []string{"a", "b", "c"}[:1+random.IntN(3)]...)
				for range len(b.upstreams) - 1 {
					if other := b.occupy(); random.IntN(3) > 0 {
						time.AfterFunc(time.Duration(random.IntN(6000))*time.Millisecond, func() { other.Release(dispatch.Served) })
					} else {
						t.Cleanup(func() { other.Release(dispatch.Cancelled) })
					}
				}
				// Some pauses end at the time at which the upstream is given up.
				steps := []time.Duration{0, 10 * time.Millisecond, time.Second, StreamIdleTimeout, 1500 * time.Millisecond, 3 * time.Second}
				s := &pausingUpstreams{t: t, events: 8, pauses: func(string, int) time.Duration { return steps[random.IntN(len(steps))] }}
				o := b.serve(s, 2+random.IntN(3), time.Minute)
				if o.status != 200 || o.aborted || o.body != wholeStream(8) {
					t.Errorf("status %d, aborted %v, calls %v resumed %v: %q", o.status, o.aborted, s.calls, slices.Clone(s.resumed), o.body)
				}
				time.Sleep(10 * time.Second) // until slots that were taken are free
			})
		})
	}
}
