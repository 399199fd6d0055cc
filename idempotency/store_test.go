package idempotency

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/storage"
)

var seeds = flag.Int("seeds", 3000, "number of seeds for the concurrent resend test")

func newStore(f *faultyTable) *Store {
	return New(Config{Table: f, Objects: f.Objects(), MaxInlineBytes: 16})
}

func newCall(id string) Call {
	return Call{Caller: "c1", Key: "k/1", Attempt: attempt.ID(id), RequestHash: "hash", Deadline: time.Now().Add(time.Minute)}
}

// resendRace is one call that its caller resends to several entries concurrently.
type resendRace struct {
	mu             sync.Mutex
	runs           int  // attempts that ran on the upstream
	outcomeUnknown bool // an attempt ended with an unknown outcome
	response       string
	problems       []string
}

func (r *resendRace) addProblem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

// resend handles the call as an entry does. It returns whether the caller must stop
// resending.
func (r *resendRace) resend(s *Store, id string, draw func(int) int) bool {
	ctx := context.Background()
	got := s.Begin(ctx, newCall(id), time.Now())
	switch got.Outcome {
	case Recorded:
		r.mu.Lock()
		defer r.mu.Unlock()
		if body := string(got.Response.Body); body != r.response {
			r.problems = append(r.problems, "recorded response "+body+", want "+r.response)
		}
		return true
	case Fresh:
		return r.dispatch(ctx, got.Intent, id, draw)
	}
	return false
}

func (r *resendRace) dispatch(ctx context.Context, in *Intent, id string, draw func(int) int) bool {
	time.Sleep(time.Duration(draw(3000)) * time.Millisecond) // a pause before or during the run
	kind := draw(4)
	if kind == 0 { // refused by every agent
		_ = in.MarkNotRun(ctx)
		return false
	}
	r.mu.Lock()
	r.runs++
	if kind == 1 {
		r.outcomeUnknown = true
	} else {
		r.response = "the response of attempt " + id
	}
	r.mu.Unlock()
	if kind == 1 {
		_ = in.MarkUnknown(ctx)
		return true
	}
	_ = in.Finish(ctx, Response{Status: 200, Body: []byte("the response of attempt " + id)})
	return true
}

// Guards against two attempts of one call that both run when table responses are lost
// or delayed, the table is down, and resends run concurrently on several entries. Also
// guards against a key that stays unusable although nothing ran.
func TestConcurrentResendsRunOnce(t *testing.T) {
	for seed := range uint64(*seeds) {
		synctest.Test(t, func(t *testing.T) { runRace(t, seed) })
	}
}

func runRace(t *testing.T, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	var drawing sync.Mutex
	draw := func(n int) int {
		drawing.Lock()
		defer drawing.Unlock()
		return rnd.IntN(n)
	}
	table := newTable(seed, rnd.Float64()*0.8)
	stores := []*Store{newStore(table), newStore(table), newStore(table)}
	var r resendRace
	var wg sync.WaitGroup
	for e, s := range stores {
		wg.Go(func() {
			for n := range 3 {
				time.Sleep(time.Duration(draw(4000)) * time.Millisecond)
				if r.resend(s, fmt.Sprintf("%d-%d", e, n), draw) {
					return
				}
			}
		})
	}
	if draw(3) == 0 {
		time.Sleep(time.Second)
		table.mu.Lock()
		table.down = true
		table.mu.Unlock()
	}
	wg.Wait()
	table.clearFaults()
	time.Sleep(time.Minute) // the stores settle their rows in the background
	for _, s := range stores {
		s.Close(context.Background())
	}
	last := newStore(table)
	defer last.Close(context.Background())
	got := last.Begin(context.Background(), newCall("last"), time.Now())
	r.checkFinalOutcome(got)
	if r.runs > 1 {
		r.addProblem("%d attempts ran", r.runs)
	}
	for _, p := range r.problems {
		t.Errorf("seed %d: %s", seed, p)
	}
}

// checkFinalOutcome compares the outcome of a final resend with what happened.
func (r *resendRace) checkFinalOutcome(got Result) {
	switch {
	case r.runs == 0 && got.Outcome != Fresh:
		r.addProblem("nothing ran, but the last resend is %s", got.Outcome)
	case r.runs > 0 && r.outcomeUnknown && got.Outcome != Unknown:
		r.addProblem("outcome unknown, but the last resend is %s", got.Outcome)
	case r.runs > 0 && !r.outcomeUnknown && got.Outcome != Recorded:
		r.addProblem("response recorded, but the last resend is %s", got.Outcome)
	}
}

// Guards against a key that is accepted for a different call, and against a running
// call that is reported as ended.
func TestOutcomes(t *testing.T) {
	now := time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	call := Call{Caller: "c1", Key: "k", Attempt: "b", RequestHash: "hash"}
	cases := []struct {
		record Record
		want   Outcome
	}{
		{Record{State: StateStarted, RequestHash: "hash", Deadline: now.Add(time.Second)}, InProgress},
		{Record{State: StateStarted, RequestHash: "hash", Deadline: now}, Unknown},
		{Record{State: StateUnknown, RequestHash: "hash"}, Unknown},
		{Record{State: StateDone, RequestHash: "hash"}, Recorded},
		{Record{State: StateNotRun, RequestHash: "hash"}, Fresh},
		{Record{State: StateDone, RequestHash: "other"}, Mismatch},
		{Record{State: StateNotRun, RequestHash: "other"}, Mismatch},
	}
	for _, c := range cases {
		if got := evaluate(&c.record, &call, now); got != c.want {
			t.Errorf("%+v: %s, want %s", c.record, got, c.want)
		}
	}
}

// Guards against a caller ID and key that together address another caller's row.
func TestRowKeysDoNotCollide(t *testing.T) {
	a := rowKey(&Call{Caller: "a", Key: "b/c"})
	b := rowKey(&Call{Caller: "a/b", Key: "c"})
	if a == b {
		t.Errorf("both are %s", a)
	}
}

// Guards against the early removal of an intent because an earlier attempt with its
// key, which was not run, has passed the retention.
func TestSweepKeepsARowTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(1, 0)
		s := newStore(table)
		defer s.Close(context.Background())
		ctx := context.Background()
		if err := s.Begin(ctx, newCall("a"), time.Now()).Intent.MarkNotRun(ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(DefaultRetention - time.Hour)
		if err := s.Begin(ctx, newCall("b"), time.Now()).Intent.Finish(ctx, Response{Status: 200}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Hour)
		n, err := s.Sweep(ctx, time.Now())
		if got := s.Begin(ctx, newCall("c"), time.Now()); n != 0 || err != nil || got.Outcome != Recorded {
			t.Errorf("%d removed, error %v, then %s", n, err, got.Outcome)
		}
		time.Sleep(DefaultRetention)
		n, err = s.Sweep(ctx, time.Now())
		if rows, _ := table.storedCounts(t); n != 1 || err != nil || rows != 0 {
			t.Errorf("%d removed, error %v, %d rows left", n, err, rows)
		}
	})
}

// Guards against rows and objects that are never removed, or removed before 24 h.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(1, 0)
		s := newStore(table)
		defer s.Close(context.Background())
		ctx := context.Background()
		for i := range 2*SweepPageSize + 5 {
			c := newCall(fmt.Sprint(i))
			c.Key = fmt.Sprint(i)
			in := s.Begin(ctx, c, time.Now()).Intent
			if err := in.Finish(ctx, Response{Status: 200, Body: make([]byte, 17)}); err != nil {
				t.Fatal(err)
			}
		}
		sweepAll := func() int {
			removed := 0
			for range 4 {
				n, err := s.Sweep(ctx, time.Now())
				if err != nil {
					t.Fatal(err)
				}
				removed += n
			}
			return removed
		}
		time.Sleep(DefaultRetention - time.Minute)
		if n := sweepAll(); n != 0 {
			t.Errorf("%d rows removed early", n)
		}
		time.Sleep(time.Hour)
		n := sweepAll()
		if rows, objects := table.storedCounts(t); n != 2*SweepPageSize+5 || objects != 0 || rows != 0 {
			t.Errorf("%d intents removed, %d objects and %d rows left", n, objects, rows)
		}
	})
}

// rejectingTable fails writes with an error that matches both a refusal and a call without
// an answer, as of a write made in two ways, and performs them later.
type rejectingTable struct {
	*faultyTable
	rejects atomic.Bool
}

// lateWrite is when a rejected write takes effect.
const lateWrite = 10 * time.Second

func (r *rejectingTable) Commit(ctx context.Context, tx storage.Transaction) ([]uint64, error) {
	if !r.rejects.Load() {
		return r.faultyTable.Commit(ctx, tx)
	}
	time.AfterFunc(lateWrite, func() { _, _ = r.faultyTable.Commit(context.WithoutCancel(ctx), tx) })
	return nil, errors.Join(storage.ErrThrottled, storage.ErrUnavailable)
}

// Guards against a key that stays in progress after "not run", because a write that may
// take effect later was taken for a refused one and is not settled.
func TestAmbiguousWriteIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &rejectingTable{faultyTable: newTable(1, 0)}
		table.rejects.Store(true)
		s := New(Config{Table: table, Objects: table.Objects()})
		defer s.Close(context.Background())
		if got := s.Begin(t.Context(), newCall("a"), time.Now()); got.Outcome != Unavailable {
			t.Fatalf("outcome %s", got.Outcome)
		}
		table.rejects.Store(false)
		time.Sleep(30 * time.Second)
		if got := s.Begin(t.Context(), newCall("b"), time.Now()); got.Outcome != Fresh {
			t.Errorf("resend: %s, want fresh", got.Outcome)
		}
	})
}
