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

// faultyTable wraps the platform stand-in with random failures of every kind that the
// interface allows. A write can take effect after its error, at a random time, which
// the stand-in's own faults do not vary.
type faultyTable struct {
	*standin.Platform

	mu        sync.Mutex
	rnd       *rand.Rand
	faultRate float64 // fraction of calls that fail
	down      bool
}

func newTable(seed uint64, faults float64) *faultyTable {
	return &faultyTable{
		Platform: standin.New(standin.Config{}),
		rnd:      rand.New(rand.NewPCG(seed, 7)), faultRate: faults,
	}
}

// storedCounts returns the number of stored rows and objects.
func (f *faultyTable) storedCounts(t *testing.T) (rows, objects int) {
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

// maxCommitDelay bounds how long after its error a write can take effect.
const maxCommitDelay = 20 * time.Second

// nextFault selects the fault of the next call.
func (f *faultyTable) nextFault() (down, fault bool, kind int, late time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return true, false, 0, 0
	}
	if f.rnd.Float64() >= f.faultRate {
		return false, false, 0, 0
	}
	return false, true, f.rnd.IntN(4), time.Duration(f.rnd.Int64N(int64(maxCommitDelay)))
}

func (f *faultyTable) Get(ctx context.Context, key string) (storage.Row, error) {
	f.delay(ctx)
	if down, fault, _, _ := f.nextFault(); down || fault || ctx.Err() != nil {
		return storage.Row{}, storage.ErrUnavailable
	}
	return f.Platform.Get(ctx, key)
}

func (f *faultyTable) Commit(ctx context.Context, tx storage.Transaction) ([]uint64, error) {
	f.delay(ctx)
	down, fault, kind, late := f.nextFault()
	if down {
		return nil, storage.ErrUnavailable
	}
	ctx = context.WithoutCancel(ctx) // cancellation does not stop a write that was sent
	if !fault {
		return f.Platform.Commit(ctx, tx)
	}
	switch kind {
	case 0:
		return nil, storage.ErrThrottled
	case 1:
		_, _ = f.Platform.Commit(ctx, tx) // the response is lost
	case 2:
		time.AfterFunc(late, func() { _, _ = f.Platform.Commit(ctx, tx) })
	}
	return nil, storage.ErrUnavailable
}

// delay makes calls of several entries overlap.
func (f *faultyTable) delay(ctx context.Context) {
	f.mu.Lock()
	d := time.Duration(f.rnd.Int64N(int64(10 * time.Millisecond)))
	if f.faultRate > 0 && f.rnd.IntN(20) == 0 {
		d = 3 * time.Second // longer than BeginTimeout
	}
	f.mu.Unlock()
	pause.For(ctx, d)
}

func (f *faultyTable) clearFaults() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faultRate = 0
	f.down = false
}
