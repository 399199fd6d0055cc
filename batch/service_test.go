package batch_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/batch"
	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/peer"
	"github.com/magnoliausher/magnoliausher/platform"
	"github.com/magnoliausher/magnoliausher/platform/platformtest"
)

var route = fleet.Route{Name: "notes", Host: "h", Prefix: "/n/", Kind: fleet.Batch, MaxAttempts: 3, TokenQuota: 1000,
	Targets: []fleet.Target{{Service: "s", Weight: 1}}}

// gateway is a batch service whose store may be shared with other gateways.
type gateway struct {
	*batch.Service
	holder *fleet.Holder
	stop   context.CancelFunc
	done   chan error
}

// start runs a gateway whose live peers are those that members returns.
func start(t *testing.T, store *platformtest.Store, name string, incarnation uint64, members func() []peer.MemberStatus, engines ...*platformtest.Engine) *gateway {
	t.Helper()
	return startWithConfig(t, store, name, incarnation, members, func(*batch.Config) {}, engines...)
}

func startWithConfig(t *testing.T, store *platformtest.Store, name string, incarnation uint64, members func() []peer.MemberStatus,
	configure func(*batch.Config), engines ...*platformtest.Engine) *gateway {
	t.Helper()
	g := &gateway{holder: fleet.NewHolder(), done: make(chan error, 1)}
	g.holder.Configure(fleet.NewConfiguration(1, []fleet.Route{route}, fleet.Limits{}))
	var records []fleet.Record
	for i, e := range engines {
		records = append(records, fleet.Record{Version: uint64(i + 1), Upstream: fleet.Upstream{ID: e.ID, Service: e.Service,
			Address: e.Address(), Slots: e.Slots, SoftwareVersion: e.Software}})
	}
	g.holder.Replace(records, 100, time.Now())
	client := platform.NewStore(store.Address())
	config := batch.Config{Self: peer.Member{Name: name, Incarnation: incarnation}, Table: client, Feed: client,
		Objects: client.Objects(), Holder: g.holder, Dispatcher: dispatch.New(dispatch.Config{Self: name, Holder: g.holder}),
		Upstreams: platform.NewEngineClient(), Members: members, JobRetention: time.Minute, Log: zerolog.New(newTestLog(t))}
	configure(&config)
	service, err := batch.New(config)
	if err != nil {
		t.Fatal(err)
	}
	g.Service = service
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	go func() { g.done <- service.Run(ctx) }()
	t.Cleanup(g.kill)
	return g
}

// testLog writes to the test's log and drops lines written after the test has
// ended, such as those of a commit in a gateway that was killed.
type testLog struct {
	mu    sync.Mutex
	t     *testing.T
	ended bool
}

func newTestLog(t *testing.T) *testLog {
	l := &testLog{t: t}
	t.Cleanup(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.ended = true
	})
	return l
}

func (l *testLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		l.t.Log(strings.TrimSpace(string(line)))
	}
	return len(line), nil
}

// kill stops a gateway without releasing its jobs.
func (g *gateway) kill() {
	g.stop()
	select {
	case <-g.done:
	case <-time.After(5 * time.Second):
	}
}

func noPeers() []peer.MemberStatus { return nil }

func newEngine(t *testing.T, id string) *platformtest.Engine {
	e := platformtest.NewEngine(id, "s", "z")
	t.Cleanup(e.Close)
	return e
}

func newStore(t *testing.T) *platformtest.Store {
	s := platformtest.NewStore()
	t.Cleanup(s.Close)
	return s
}

func submission(id string, items int, tokens int64) *batch.Submission {
	s := &batch.Submission{ID: id, Route: route.Name, Host: "h"}
	for i := range items {
		s.Items = append(s.Items, batch.Item{ID: fmt.Sprintf("%s-%d", id, i), Target: "/n/x", Body: []byte("body " + id), Tokens: tokens})
	}
	return s
}

func submit(t *testing.T, g *gateway, s *batch.Submission) batch.SubmitOutcome {
	t.Helper()
	a, err := g.Submit(t.Context(), &route, s)
	if err != nil {
		t.Logf("submit %s: %v", s.ID, err)
	}
	return a
}

// awaitResults reads all pages of a job's results.
func awaitResults(t *testing.T, g *gateway, job string, within time.Duration) []batch.Result {
	t.Helper()
	var list []batch.Result
	for deadline := time.Now().Add(within); time.Now().Before(deadline); {
		page, err := g.Results(t.Context(), "", job, len(list), 200*time.Millisecond)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		list = append(list, page.Results...)
		if page.Total > 0 && len(list) >= page.Total {
			return list
		}
	}
	t.Fatalf("job %s: %d results within %v", job, len(list), within)
	return nil
}

func checkDone(t *testing.T, results []batch.Result, job string, items, events int) {
	t.Helper()
	seen := map[string]bool{}
	for _, r := range results {
		if r.Abandoned || r.Output != platformtest.ExpectedOutput(r.Item, events) || !strings.HasPrefix(r.Item, job+"-") || seen[r.Item] {
			t.Errorf("result of %s: abandoned %v, duplicate %v, output %q", r.Item, r.Abandoned, seen[r.Item], r.Output)
		}
		seen[r.Item] = true
	}
	if len(seen) != items {
		t.Errorf("%d items have results, want %d", len(seen), items)
	}
}

// Guards against a job that is accepted twice, loses items or has results that
// differ between gateways.
func TestJobIsDoneOnce(t *testing.T) {
	store, e := newStore(t), newEngine(t, "e1")
	a := start(t, store, "a", 1, noPeers, e)
	b := start(t, store, "b", 1, noPeers, e)
	for _, g := range []*gateway{a, b, a} {
		if got := submit(t, g, submission("j", 6, 10)); got != batch.Accepted {
			t.Fatalf("got %v", got)
		}
	}
	first := awaitResults(t, a, "j", 5*time.Second)
	checkDone(t, first, "j", 6, e.Events)
	second := awaitResults(t, b, "j", 2*time.Second)
	for i := range first {
		if first[i] != second[i] {
			t.Errorf("position %d: %v and %v", i, first[i].Item, second[i].Item)
		}
		if n := e.Runs(first[i].Item); n != 1 {
			t.Errorf("%s ran %d times", first[i].Item, n)
		}
	}
	if body, err := b.Body(t.Context(), "", "j", "j-3"); err != nil || string(body) != "body j" {
		t.Errorf("body: %q, %v", body, err)
	}
	if _, err := b.Results(t.Context(), "", "unknown", 0, 0); !errors.Is(err, batch.ErrNotFound) {
		t.Errorf("unknown job: %v", err)
	}
}

// Guards against gateways that together accept more than the quota when jobs are
// submitted concurrently.
func TestQuotaIsExact(t *testing.T) {
	store := newStore(t)
	e := newEngine(t, "e1")
	e.SetFault(platformtest.Unresponsive) // no item finishes
	var gateways []*gateway
	for i := range 3 {
		gateways = append(gateways, start(t, store, fmt.Sprint("g", i), 1, noPeers, e))
	}
	results := make(chan batch.SubmitOutcome, 12)
	for i := range 12 {
		go func() { results <- submit(t, gateways[i%3], submission(fmt.Sprint("j", i), 2, 100)) }()
	}
	count := map[batch.SubmitOutcome]int{}
	for range 12 {
		count[<-results]++
	}
	if count[batch.Accepted] != 5 || count[batch.OverQuota] != 7 {
		t.Errorf("jobs of 200 tokens under a quota of 1000: %v", count)
	}
	if _, err := gateways[0].Cancel(t.Context(), "", "j0"); err != nil && !errors.Is(err, batch.ErrNotFound) {
		t.Error(err)
	}
}

// Guards against reporting a job as not accepted although the store applied its
// commit, or although the commit may still take effect.
func TestLostAnswers(t *testing.T) {
	store, e := newStore(t), newEngine(t, "e1")
	g := start(t, store, "a", 1, noPeers, e)
	store.LoseResponses(1)
	if got := submit(t, g, submission("j", 3, 10)); got != batch.Accepted {
		t.Errorf("commit applied, answer lost: %v", got)
	}
	store.DropCommits(1)
	if got := submit(t, g, submission("k", 3, 10)); got != batch.Accepted {
		t.Errorf("commit not applied, no answer: %v", got)
	}
	store.LoseResponses(2) // of commits of results
	checkDone(t, awaitResults(t, g, "j", 5*time.Second), "j", 3, e.Events)
	checkDone(t, awaitResults(t, g, "k", 5*time.Second), "k", 3, e.Events)
	store.DropCommits(1000)
	if got := submit(t, g, submission("l", 3, 10)); got != batch.Unknown {
		t.Errorf("no answer to any commit: %v, want an unknown outcome", got)
	}
	store.DropCommits(0)
	store.FailWith(503)
	if got := submit(t, g, submission("m", 3, 10)); got != batch.NotAccepted {
		t.Errorf("refused by the store: %v", got)
	}
}

// Guards against a submission that is rejected, or accepted seconds late, because
// its store calls began during an outage and are never answered.
func TestSubmissionSurvivesOutage(t *testing.T) {
	store, e := newStore(t), newEngine(t, "e")
	g := start(t, store, "a", 1, noPeers, e)
	time.Sleep(100 * time.Millisecond)
	store.SetUnresponsive(true)
	time.Sleep(2 * time.Second) // the gateway has detected the outage
	accepted := make(chan batch.SubmitOutcome, 1)
	go func() { accepted <- submit(t, g, submission("j", 3, 10)) }()
	time.Sleep(500 * time.Millisecond)
	store.SetUnresponsive(false)
	select {
	case got := <-accepted:
		if got != batch.Accepted {
			t.Errorf("got %v", got)
		}
	case <-time.After(time.Second):
		t.Error("not accepted within a second of the store's recovery")
	}
}

// Guards against results that are listed only seconds after the store recovers,
// because a commit that began during the outage is never answered.
func TestResultsListedAfterOutage(t *testing.T) {
	for outage := 3500 * time.Millisecond; outage < 6*time.Second; outage += 250 * time.Millisecond { // store calls begin at different moments of the outage
		t.Run(outage.String(), func(t *testing.T) {
			t.Parallel()
			store, e := newStore(t), newEngine(t, "e")
			e.Events, e.Interval = 50, 4*time.Millisecond
			g := start(t, store, "a", 1, noPeers, e)
			submit(t, g, submission("j", 3, 10))
			store.SetUnresponsive(true)
			time.Sleep(outage)
			store.SetUnresponsive(false)
			checkDone(t, awaitResults(t, g, "j", 1200*time.Millisecond), "j", 3, e.Events)
		})
	}
}

// Guards against a store that counts as unavailable forever because it answers more
// slowly than the timeout of calls during an outage.
func TestVerySlowStore(t *testing.T) {
	store, e := newStore(t), newEngine(t, "e")
	g := start(t, store, "a", 1, noPeers, e)
	time.Sleep(100 * time.Millisecond)
	store.SetUnresponsive(true)
	time.Sleep(2 * time.Second) // the feed has failed
	store.SetDelay(600 * time.Millisecond)
	store.SetUnresponsive(false)
	for deadline := time.Now().Add(6 * time.Second); submit(t, g, submission("j", 3, 10)) != batch.Accepted; {
		if time.Now().After(deadline) {
			t.Fatal("not accepted in 6 s")
		}
	}
	checkDone(t, awaitResults(t, g, "j", 6*time.Second), "j", 3, e.Events)
}

// Guards against jobs that never complete when their owner is lost, and against a
// result that the new owner lists a second time.
func TestTakeover(t *testing.T) {
	store := newStore(t)
	slow := newEngine(t, "slow")
	slow.Interval = 100 * time.Millisecond
	a := start(t, store, "a", 1, noPeers, slow)
	if got := submit(t, a, submission("j", 8, 10)); got != batch.Accepted {
		t.Fatal(got)
	}
	time.Sleep(700 * time.Millisecond) // some items are listed, others still run
	a.kill()
	fast := newEngine(t, "fast")
	restarted := start(t, store, "a", 2, noPeers, fast) // the next process of the same gateway
	checkDone(t, awaitResults(t, restarted, "j", 10*time.Second), "j", 8, 5)
}

// Guards against an owner that keeps listing results after another process has
// claimed its job, as after a pause of the owner.
func TestFencedOwner(t *testing.T) {
	store := newStore(t)
	slow := newEngine(t, "slow")
	slow.Interval = 150 * time.Millisecond
	a := start(t, store, "a", 1, noPeers, slow)
	if got := submit(t, a, submission("j", 6, 10)); got != batch.Accepted {
		t.Fatal(got)
	}
	time.Sleep(100 * time.Millisecond)
	// The next process of the gateway claims the job while the first one still runs.
	fast := newEngine(t, "fast")
	b := start(t, store, "a", 2, noPeers, fast)
	results := awaitResults(t, b, "j", 10*time.Second)
	checkDone(t, results, "j", 6, 5)
	time.Sleep(time.Second)
	if rows := store.Rows("results"); len(rows) != 6 {
		t.Errorf("%d result rows, want 6", len(rows))
	}
	for i, r := range awaitResults(t, a, "j", 2*time.Second) {
		if r != results[i] {
			t.Errorf("position %d differs between the owners", i)
		}
	}
}

// Guards against jobs that are claimed only after the owner timeout when their
// owner shuts down.
func TestRelease(t *testing.T) {
	store := newStore(t)
	slow, fast := newEngine(t, "slow"), newEngine(t, "fast")
	slow.Interval = 300 * time.Millisecond
	a := start(t, store, "a", 1, noPeers, slow)
	if got := submit(t, a, submission("j", 4, 10)); got != batch.Accepted {
		t.Fatal(got)
	}
	b := start(t, store, "b", 1, func() []peer.MemberStatus {
		return []peer.MemberStatus{{Member: peer.Member{Name: "a", Incarnation: 1}, LastHeard: time.Now(), Leaving: true}}
	}, fast)
	a.Release()
	checkDone(t, awaitResults(t, b, "j", 3*time.Second), "j", 4, 5)
	if got := submit(t, a, submission("k", 1, 1)); got == batch.Accepted {
		t.Error("a gateway that is shutting down accepted a job")
	}
}

// Guards against items that are retried forever or abandoned needlessly.
func TestFailingItems(t *testing.T) {
	store := newStore(t)
	for name, fault := range map[string]platformtest.Fault{"hopeless": platformtest.Unprocessable, "failing": platformtest.InternalError} {
		e := newEngine(t, name)
		e.SetFault(fault)
		g := start(t, store, name, 1, noPeers, e)
		submit(t, g, submission(name, 1, 1))
		results := awaitResults(t, g, name, 10*time.Second)
		want := 1
		if fault == platformtest.InternalError {
			want = route.MaxAttempts
		}
		if !results[0].Abandoned || e.Runs(name+"-0") != want {
			t.Errorf("%s: abandoned %v after %d runs, want %d", name, results[0].Abandoned, e.Runs(name+"-0"), want)
		}
	}
	e := newEngine(t, "cutting")
	e.SetFault(platformtest.TruncatedResponse)
	g := start(t, store, "cutting", 1, noPeers, e)
	submit(t, g, submission("cut", 1, 1))
	checkDone(t, awaitResults(t, g, "cut", 10*time.Second), "cut", 1, e.Events)
	if e.Resumed("cut-0") == 0 {
		t.Error("an interrupted item restarted instead of resuming after its last event")
	}
}

// Guards against a job that continues after its cancellation was confirmed.
func TestCancel(t *testing.T) {
	store := newStore(t)
	e := newEngine(t, "e")
	e.Interval, e.Slots = 100*time.Millisecond, 2
	a, b := start(t, store, "a", 1, noPeers, e), start(t, store, "b", 1, noPeers, e)
	submit(t, a, submission("j", 20, 10))
	time.Sleep(100 * time.Millisecond)
	for range 2 {
		if _, err := b.Cancel(t.Context(), "", "j"); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(500 * time.Millisecond)
	before, _ := e.RunStats()
	time.Sleep(500 * time.Millisecond)
	if after, _ := e.RunStats(); after != before {
		t.Errorf("%d items started after the cancellation", after-before)
	}
	if _, err := a.Body(t.Context(), "", "j", "j-1"); !errors.Is(err, batch.ErrNotFound) {
		t.Errorf("item body of a cancelled job: %v", err)
	}
	if _, err := b.Cancel(t.Context(), "", "unknown"); !errors.Is(err, batch.ErrNotFound) {
		t.Errorf("cancelling an unknown job: %v", err)
	}
}

// Guards against reporting a job as not found while the store is unavailable.
func TestResultsDuringStoreOutage(t *testing.T) {
	store, e := newStore(t), newEngine(t, "e")
	g := start(t, store, "a", 1, noPeers, e)
	time.Sleep(50 * time.Millisecond)
	store.FailWith(503)
	time.Sleep(50 * time.Millisecond)
	if _, err := g.Results(t.Context(), "", "j", 0, 0); !errors.Is(err, batch.ErrStoreUnavailable) {
		t.Errorf("got %v", err)
	}
}

// Guards against an item that waits forever for an engine that accepted it but
// sends no events.
func TestSilentEngine(t *testing.T) {
	store, silent, healthy := newStore(t), newEngine(t, "silent"), newEngine(t, "sound")
	silent.SetFault(platformtest.Unresponsive)
	g := start(t, store, "a", 1, noPeers, silent, healthy)
	submit(t, g, submission("j", 6, 10))
	checkDone(t, awaitResults(t, g, "j", 15*time.Second), "j", 6, healthy.Events)
}

// Guards against a fully occupied service that delays the items of another
// service with free slots.
func TestBusyServiceDoesNotDelayOthers(t *testing.T) {
	store, busy, free := newStore(t), newEngine(t, "busy"), platformtest.NewEngine("free", "other", "z")
	t.Cleanup(free.Close)
	busy.SetFault(platformtest.Unresponsive)
	g := start(t, store, "a", 1, noPeers, busy, free)
	other := fleet.Route{Name: "other", Host: "h", Prefix: "/o/", Kind: fleet.Batch, MaxAttempts: 3,
		Targets: []fleet.Target{{Service: "other", Weight: 1}}}
	g.holder.Configure(fleet.NewConfiguration(2, []fleet.Route{route, other}, fleet.Limits{}))
	submit(t, g, submission("j", 12, 10)) // more than the slots of its service
	time.Sleep(200 * time.Millisecond)    // the other job is newer and sorts after this one
	job := submission("k", 3, 10)
	job.Route = other.Name
	for i := range job.Items {
		job.Items[i].Target = "/o/x"
	}
	if a, err := g.Submit(t.Context(), &other, job); a != batch.Accepted {
		t.Fatal(a, err)
	}
	checkDone(t, awaitResults(t, g, "k", time.Second), "k", 3, free.Events)
}
