package poison_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/poison"
	standin "github.com/magnoliausher/magnoliausher/standin/platform"
)

const (
	once  = uint64(11) // in progress at one crash
	twice = uint64(12)
)

func startKeeper(ctx context.Context, p *standin.Platform, rank, entries int) *poison.Persister {
	k := &poison.Persister{
		Table: poison.NewTable(poison.Config{}), Rows: p,
		Rank: func() (int, int) { return rank, entries },
	}
	go k.Run(ctx)
	return k
}

// Guards against a fleet that forgets the requests that crash its upstreams
// when all its processes are lost at once, also when the crashes came during an
// outage of the platform and each entry knew another crash.
func TestSuspectsOutliveTheFleet(t *testing.T) {
	for _, outage := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := standin.New(standin.Config{})
			ctx, lose := context.WithCancel(t.Context())
			p.SetOutage(outage)
			first, second := startKeeper(ctx, p, 0, 2), startKeeper(ctx, p, 1, 2)
			first.Table.RecordCrash(1, []uint64{once, twice}, time.Now())
			second.Table.RecordCrash(2, []uint64{twice}, time.Now())
			time.Sleep(time.Second)
			p.SetOutage(false)
			time.Sleep(30 * time.Second)
			lose()
			synctest.Wait()
			third := &poison.Persister{Table: poison.NewTable(poison.Config{}), Rows: p}
			if err := third.Load(t.Context()); err != nil {
				t.Fatal(err)
			}
			now := time.Now()
			if third.Table.Status(once, now) != poison.Suspect || third.Table.Status(twice, now) != poison.Blocked {
				t.Errorf("outage %v: %v and %v after the loss", outage, third.Table.Status(once, now), third.Table.Status(twice, now))
			}
			if end := now.Add(poison.DefaultTTL); third.Table.Status(twice, end) != poison.Clear {
				t.Errorf("outage %v: still blocked %v after the loss", outage, poison.DefaultTTL)
			}
		})
	}
}

// Guards against rows that stay for ever, and against entries that all write
// the same suspect.
func TestSuspectRowsAreFewAndRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New(standin.Config{})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		const entries = 10
		for rank := range entries {
			k := startKeeper(ctx, p, rank, entries)
			k.Table.RecordCrash(1, []uint64{once}, time.Now())
		}
		time.Sleep(time.Second)
		if writes := p.Stats().TableWrites; writes != 2 {
			t.Errorf("%d writes of one suspect, want 2", writes)
		}
		time.Sleep(30 * time.Minute)
		if rows, err := p.Scan(t.Context(), "suspect/", "", 10); err != nil || len(rows) != 0 {
			t.Errorf("%d rows after their time, error %v", len(rows), err)
		}
		stop()
		synctest.Wait()
	})
}
