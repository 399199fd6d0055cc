package idempotency

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/pause"
	standin "github.com/magnoliausher/magnoliausher/standin/platform"
	"github.com/magnoliausher/magnoliausher/storage"
)

// fakeTable is the platform stand-in with calls that fail at random in every
// way that the interface allows, including a write that takes effect after its
// error, at a time that the stand-in's own faults do not vary.
type fakeTable struct {
	*standin.Platform

	mu     sync.Mutex
	rnd    *rand.Rand
	faults float64 // share of calls that fail
	down   bool
}

func newTable(seed uint64, faults float64) *fakeTable {
	return &fakeTable{
		Platform: standin.New(standin.Config{}),
		rnd:      rand.New(rand.NewPCG(seed, 7)), faults: faults,
	}
}

// left counts what is stored.
func (f *fakeTable) left(t *testing.T) (rows, objects int) {
	t.Helper()
	list, err := f.Platform.Scan(t.Context(), "", "", math.MaxInt)
	if err != nil {
		t.Fatal(err)
	}
	infos, err := f.Objects().List(t.Context(), "", "", math.MaxInt)
	if err != nil {
		t.Fatal(err)
	}
	return len(list), len(infos)
}

// latest bounds how long after its error a write can take effect.
const latest = 20 * time.Second

// fails decides on the faults of one call.
func (f *fakeTable) fails() (down, fault bool, kind int, late time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return true, false, 0, 0
	}
	if f.rnd.Float64() >= f.faults {
		return false, false, 0, 0
	}
	return false, true, f.rnd.IntN(4), time.Duration(f.rnd.Int64N(int64(latest)))
}

func (f *fakeTable) Get(ctx context.Context, key string) (storage.Row, error) {
	f.delay(ctx)
	if down, fault, _, _ := f.fails(); down || fault || ctx.Err() != nil {
		return storage.Row{}, storage.ErrUnavailable
	}
	return f.Platform.Get(ctx, key)
}

func (f *fakeTable) Commit(ctx context.Context, tx storage.Transaction) ([]uint64, error) {
	f.delay(ctx)
	down, fault, kind, late := f.fails()
	if down {
		return nil, storage.ErrUnavailable
	}
	ctx = context.WithoutCancel(ctx) // the write is on its way
	if !fault {
		return f.Platform.Commit(ctx, tx)
	}
	switch kind {
	case 0:
		return nil, storage.ErrThrottled
	case 1:
		_, _ = f.Platform.Commit(ctx, tx) // the answer is lost
	case 2:
		time.AfterFunc(late, func() { _, _ = f.Platform.Commit(ctx, tx) })
	}
	return nil, storage.ErrUnavailable
}

// delay lets calls of several entries overlap.
func (f *fakeTable) delay(ctx context.Context) {
	f.mu.Lock()
	d := time.Duration(f.rnd.Int64N(int64(10 * time.Millisecond)))
	if f.faults > 0 && f.rnd.IntN(20) == 0 {
		d = 3 * time.Second // slower than Begin may wait
	}
	f.mu.Unlock()
	pause.For(ctx, d)
}

func (f *fakeTable) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = 0
	f.down = false
}
