package idempotency

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/storage"
)

// countingTable counts the calls to the platform.
type countingTable struct {
	*faultyTable
	reads, writes int
}

func (c *countingTable) Get(ctx context.Context, key string) (storage.Row, error) {
	c.reads++
	return c.faultyTable.Get(ctx, key)
}

func (c *countingTable) Scan(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	c.reads++
	return c.faultyTable.Scan(ctx, prefix, after, limit)
}

func (c *countingTable) Commit(ctx context.Context, tx storage.Transaction) ([]uint64, error) {
	c.writes++
	return c.faultyTable.Commit(ctx, tx)
}

// TestPlatformCalls guards against more platform calls per non-repeatable call with a
// key and a small response than docs/CAPACITY.md states: two writes per call, and one
// read and a hundredth of a write for its removal.
func TestPlatformCalls(t *testing.T) {
	for _, n := range []int{100, 300, 1000, 3000} {
		synctest.Test(t, func(t *testing.T) {
			f := &countingTable{faultyTable: newTable(1, 0)}
			s := New(Config{Table: f, Objects: f.Objects()})
			defer s.Close(t.Context())
			for i := range n {
				runCall(t, s, i)
			}
			reads, writes := f.reads, f.writes
			if writes != 2*n || reads != 0 {
				t.Errorf("%d calls: %d writes and %d reads", n, writes, reads)
			}
			later := time.Now().Add(2 * DefaultRetention)
			for removed := 0; removed < n; {
				k, err := s.Sweep(t.Context(), later)
				if err != nil || k == 0 {
					t.Fatalf("removed %d, error %v", k, err)
				}
				removed += k
			}
			pages := (n + SweepPageSize - 1) / SweepPageSize
			if f.writes-writes != pages || f.reads-reads != n+pages {
				t.Errorf("%d calls: removal with %d writes and %d reads", n, f.writes-writes, f.reads-reads)
			}
			t.Logf("calls=%d writes=%d reads=%d removal-writes=%d removal-reads=%d", n, writes, reads, f.writes-writes, f.reads-reads)
		})
	}
}

func runCall(t *testing.T, s *Store, i int) {
	call := newCall(fmt.Sprint("attempt-", i))
	call.Key = fmt.Sprint("k/", i)
	got := s.Begin(t.Context(), call, time.Now())
	if got.Outcome != Fresh {
		t.Fatalf("outcome %v", got.Outcome)
	}
	if err := got.Intent.Finish(t.Context(), Response{Status: 200, Body: []byte("ok")}); err != nil {
		t.Fatal(err)
	}
}
