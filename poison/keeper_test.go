package poison_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/poison"
	standin "github.com/magnoliausher/magnoliausher/standin/platform"
)

const (
	once  = uint64(11) // in progress at one crash
	twice = uint64(12) // in progress at two crashes
)

func startPersister(ctx context.Context, p *standin.Platform, rank, entries int) *poison.Persister {
	persister := &poison.Persister{
		Table: poison.NewTable(poison.Config{}), Rows: p,
		Rank: func() (int, int) { return rank, entries },
	}
	go persister.Run(ctx)
	return persister
}

// Guards against losing the suspects when all processes stop at once, also if the
// crashes happen during an outage of the platform and each entry knows a different
// crash.
func TestSuspectsSurviveFullRestart(t *testing.T) {
	for _, outage := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := standin.New(standin.Config{})
			ctx, stop := context.WithCancel(t.Context())
			p.SetOutage(outage)
			first, second := startPersister(ctx, p, 0, 2), startPersister(ctx, p, 1, 2)
			first.Table.RecordCrash(1, []uint64{once, twice}, time.Now())
			second.Table.RecordCrash(2, []uint64{twice}, time.Now())
			time.Sleep(time.Second)
			p.SetOutage(false)
			time.Sleep(30 * time.Second)
			stop()
			synctest.Wait()
			restarted := &poison.Persister{Table: poison.NewTable(poison.Config{}), Rows: p}
			if err := restarted.Load(t.Context()); err != nil {
				t.Fatal(err)
			}
			now := time.Now()
			if restarted.Table.Status(once, now) != poison.Suspect || restarted.Table.Status(twice, now) != poison.Blocked {
				t.Errorf("outage %v: statuses %v and %v after the restart, want suspect and blocked", outage, restarted.Table.Status(once, now), restarted.Table.Status(twice, now))
			}
			if end := now.Add(poison.DefaultTTL); restarted.Table.Status(twice, end) != poison.Clear {
				t.Errorf("outage %v: still blocked %v after the restart", outage, poison.DefaultTTL)
			}
		})
	}
}

// Guards against rows that are never deleted, and against every entry writing the
// same suspect.
func TestSuspectRowsAreFewAndRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New(standin.Config{})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		const entries = 10
		for rank := range entries {
			persister := startPersister(ctx, p, rank, entries)
			persister.Table.RecordCrash(1, []uint64{once}, time.Now())
		}
		time.Sleep(time.Second)
		if writes := p.Stats().TableWrites; writes != 2 {
			t.Errorf("%d writes of one suspect, want 2", writes)
		}
		time.Sleep(30 * time.Minute)
		if rows, err := p.Scan(t.Context(), "suspect/", "", 10); err != nil || len(rows) != 0 {
			t.Errorf("%d rows after their expiry, error %v", len(rows), err)
		}
		stop()
		synctest.Wait()
	})
}

// Guards against expired rows that stay because there are more rows than one read of
// the table returns.
func TestAllExpiredRowsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New(standin.Config{})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		persister := startPersister(ctx, p, 0, 1)
		const suspects = 1500
		for i := range suspects {
			persister.Table.RecordCrash(uint64(i), []uint64{uint64(1 + i)}, time.Now())
			if i%100 == 99 {
				time.Sleep(10 * time.Second) // rows at the end of the table expire last
			}
		}
		time.Sleep(poison.DefaultTTL - time.Minute)
		// The first suspects of the table are seen again, so that the rest must be
		// reached behind more than a page of rows that stay.
		for i := range suspects - 100 {
			persister.Table.RecordCrash(uint64(suspects+i), []uint64{uint64(1 + i)}, time.Now())
		}
		time.Sleep(10 * time.Minute)
		rows, err := p.Scan(t.Context(), fmt.Sprintf("suspect/%016x", suspects), "", 10)
		if err != nil || len(rows) != 0 {
			t.Errorf("%d rows of the last suspect after their expiry, error %v", len(rows), err)
		}
		stop()
		synctest.Wait()
	})
}

// Guards against a block that a full restart forgets, one that it restores after a sound
// answer, and against rows of requests that are not blocked.
func TestStoredBlocksFollowReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New(standin.Config{})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		newPersister := func() *poison.Persister {
			return &poison.Persister{Table: poison.NewTable(poison.Config{}), Rows: p, Prefix: "poison/suspects/", MinCrashes: 2,
				Rank: func() (int, int) { return 0, 1 }}
		}
		first := newPersister()
		go first.Run(ctx)
		first.Table.RecordCrash(1, []uint64{once, twice, 13}, time.Now())
		first.Table.RecordCrash(2, []uint64{twice, 13}, time.Now())
		time.Sleep(time.Second)
		first.Table.RecordSound(&poison.Subject{Parts: []poison.Part{{Fingerprint: 13}}}, time.Now())
		time.Sleep(time.Second)
		restarted := newPersister()
		if err := restarted.Load(t.Context()); err != nil {
			t.Fatal(err)
		}
		for fp, want := range map[uint64]poison.Status{once: poison.Clear, twice: poison.Blocked, 13: poison.Clear} {
			if got := restarted.Table.Status(fp, time.Now()); got != want {
				t.Errorf("fingerprint %d: %v after the restart, want %v", fp, got, want)
			}
		}
		stop()
		synctest.Wait()
	})
}

// Guards against a block that a restart restores after a sound answer, because the answer
// to the write of its rows was lost and they were taken as not written.
func TestReleaseReachesRowsOfLostWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New(standin.Config{})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		newPersister := func() *poison.Persister {
			return &poison.Persister{Table: poison.NewTable(poison.Config{}), Rows: p, MinCrashes: 2, Rank: func() (int, int) { return 0, 1 }}
		}
		first := newPersister()
		go first.Run(ctx)
		time.Sleep(time.Second)
		p.LoseNextResponses(1)
		first.Table.RecordCrash(1, []uint64{twice}, time.Now())
		first.Table.RecordCrash(2, []uint64{twice}, time.Now())
		synctest.Wait() // the write was made; its repetition waits
		first.Table.RecordSound(&poison.Subject{Parts: []poison.Part{{Fingerprint: twice}}}, time.Now())
		time.Sleep(time.Minute)
		restarted := newPersister()
		if err := restarted.Load(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := restarted.Table.Status(twice, time.Now()); got != poison.Clear {
			t.Errorf("%v after the restart, want clear", got)
		}
		stop()
		synctest.Wait()
	})
}
