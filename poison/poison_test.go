package poison

import (
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

var start = time.Unix(1_000_000, 0)

// genSuspects generates lists with few distinct values, so that they overlap.
func genSuspects() gopter.Gen {
	return gen.SliceOfN(6, gopter.CombineGens(
		gen.UInt64Range(1, 4),
		gen.SliceOfN(3, gen.UInt64Range(1, 12)),
		gen.UInt32Range(0, 700_000),
	).Map(func(v []any) *rpc.Suspect {
		return &rpc.Suspect{Fingerprint: v[0].(uint64), CrashIds: v[1].([]uint64), ExpiresInMs: v[2].(uint32)}
	}))
}

func merged(lists ...[]*rpc.Suspect) *Table {
	t := NewTable(Config{})
	for _, l := range lists {
		t.Merge(l, start)
	}
	return t
}

type state struct {
	Crashes []uint64
	Expires time.Time
}

func (t *Table) state() map[uint64]state {
	all := make(map[uint64]state, len(t.records))
	for fp, r := range t.records {
		all[fp] = state{Crashes: r.crashIDs, Expires: r.expires}
	}
	return all
}

// Guards against tables that depend on the path or order of messages.
func TestMergeProperties(t *testing.T) {
	same := func(a, b *Table) bool { return reflect.DeepEqual(a.state(), b.state()) }
	properties := gopter.NewProperties(nil)
	properties.Property("commutative", prop.ForAll(func(a, b []*rpc.Suspect) bool {
		return same(merged(a, b), merged(b, a))
	}, genSuspects(), genSuspects()))
	properties.Property("associative", prop.ForAll(func(a, b, c []*rpc.Suspect) bool {
		return same(merged(a, b, c), merged(b, c, a)) && same(merged(a, b, c), merged(c, a, b))
	}, genSuspects(), genSuspects(), genSuspects()))
	properties.Property("idempotent", prop.ForAll(func(a, b []*rpc.Suspect) bool {
		table := merged(a, b)
		return !table.Merge(a, start) && !table.Merge(b, start) && same(table, merged(a, b))
	}, genSuspects(), genSuspects()))
	properties.Property("copy expires before its source", prop.ForAll(func(a []*rpc.Suspect, heldMS, transitMS uint32) bool {
		source := merged(a)
		sent := start.Add(time.Duration(heldMS) * time.Millisecond)
		arrived := sent.Add(time.Duration(transitMS) * time.Millisecond)
		copied := NewTable(Config{})
		copied.Merge(source.Export(sent), arrived)
		for fp, r := range copied.records {
			if !r.expires.Before(source.records[fp].expires.Add(time.Millisecond)) {
				return false
			}
		}
		return true
	}, genSuspects(), gen.UInt32Range(0, 600_000), gen.UInt32Range(0, 2_000)))
	properties.TestingRun(t)
}

// Guards against blocking after one crash, and against a block that ends 10 minutes
// after the first crash instead of the last, or never.
func TestStatusOverTime(t *testing.T) {
	table := NewTable(Config{})
	table.RecordCrash(1, []uint64{7}, start)
	table.RecordCrash(1, []uint64{7}, start.Add(time.Minute)) // the same crash, reported again
	cases := []struct {
		after time.Duration
		crash uint64 // if not 0, recorded before the check
		want  Status
	}{
		{2 * time.Minute, 0, Suspect},
		{9 * time.Minute, 2, Blocked},
		{18 * time.Minute, 0, Blocked},
		{19 * time.Minute, 0, Clear},
		{20 * time.Minute, 3, Suspect},
	}
	for _, c := range cases {
		now := start.Add(c.after)
		if c.crash != 0 {
			table.RecordCrash(c.crash, []uint64{7}, now)
		}
		if got := table.Status(7, now); got != c.want {
			t.Errorf("after %v: %v, want %v", c.after, got, c.want)
		}
	}
}

// Guards against copies that extend each other's expiry: a suspect must expire in
// two tables that repeatedly merge each other's exports.
func TestExchangeDoesNotRenew(t *testing.T) {
	a, b := NewTable(Config{}), NewTable(Config{})
	a.RecordCrash(1, []uint64{7}, start)
	now := start
	for now.Before(start.Add(DefaultTTL)) {
		b.Merge(a.Export(now), now.Add(time.Second))
		a.Merge(b.Export(now.Add(time.Second)), now.Add(2*time.Second))
		now = now.Add(3 * time.Second)
	}
	if a.Status(7, now) != Clear || b.Status(7, now) != Clear {
		t.Fatal("exchanging the suspect extended its expiry")
	}
}

// Guards against unlimited growth, and against evicting blocked requests first.
func TestTableIsBounded(t *testing.T) {
	table := NewTable(Config{MaxFingerprints: 10})
	table.RecordCrash(1, []uint64{1}, start)
	table.RecordCrash(2, []uint64{1}, start)
	for i := range uint64(100) {
		table.RecordCrash(3, []uint64{100 + i}, start.Add(time.Duration(i)*time.Second))
	}
	if table.Len() != 10 {
		t.Fatalf("%d fingerprints, want 10", table.Len())
	}
	if got := table.Status(1, start.Add(2*time.Minute)); got != Blocked {
		t.Fatalf("blocked request has status %v", got)
	}
}

// Guards against changes that watchers or ExportSince miss.
func TestChangesAreReported(t *testing.T) {
	table := NewTable(Config{})
	changed := table.NextChange()
	table.RecordCrash(1, []uint64{7}, start)
	select {
	case <-changed:
	default:
		t.Fatal("the change was not notified")
	}
	first, sequence := table.ExportSince(0, start)
	table.RecordCrash(1, []uint64{8}, start)
	second, _ := table.ExportSince(sequence, start)
	if len(first) != 1 || len(second) != 1 || second[0].Fingerprint != 8 {
		t.Fatalf("exports %v and %v", first, second)
	}
}
