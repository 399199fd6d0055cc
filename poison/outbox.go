package poison

import (
	"cmp"
	"slices"
	"time"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

const (
	// maxReportRecords and maxReportRepeats limit the records in one report, each at most
	// 85 bytes: those that have changed and those that are repeated.
	maxReportRecords = 16
	maxReportRepeats = 2
	// minReportSingles is the part of a report that records of a single crash get, if any
	// wait.
	minReportSingles = 6
	// changeRepeats is how many reports carry a change, since datagrams may be lost.
	changeRepeats = 4
	// maxOutboxRecords limits the changes that wait for a report.
	maxOutboxRecords = 1024
)

// Outbox selects the records of a table for the periodic reports to a group of peers.
// Changes are sent in the next reports. Blocked records are also repeated in turn, for
// processes that restarted or were cut off.
type Outbox struct {
	table    *Table
	sequence uint64
	pending  map[uint64]int // reports that still carry a change, by fingerprint
	next     uint64         // fingerprint from which repeats go on
}

// NewOutbox returns an outbox of a table. It is not safe for concurrent use.
func NewOutbox(t *Table) *Outbox { return &Outbox{table: t, pending: make(map[uint64]int)} }

// Next returns the records for the next report. relay includes changes that came from
// other processes.
func (o *Outbox) Next(relay bool, now time.Time) []*rpc.Suspect {
	t := o.table
	t.mu.Lock()
	defer t.unlock()
	t.removeExpired(now)
	for fp, r := range t.records {
		changed := r.own
		if relay {
			changed = max(r.own, r.heard)
		}
		if changed > o.sequence && len(o.pending) < maxOutboxRecords {
			o.pending[fp] = changeRepeats
		}
	}
	o.sequence = t.sequence
	var report []*rpc.Suspect
	for _, fp := range o.selectPending() {
		if o.pending[fp]--; o.pending[fp] <= 0 {
			delete(o.pending, fp)
		}
		if s := t.export(fp, t.records[fp], now); s != nil {
			report = append(report, s)
		}
	}
	for _, fp := range o.selectRepeats() {
		if s := t.export(fp, t.records[fp], now); s != nil {
			report = append(report, s)
		}
	}
	return report
}

// selectPending returns up to maxReportRecords changed fingerprints, those sent least
// often first. The many that were in progress at a single crash leave most of a report
// to the others, but get a part of it.
func (o *Outbox) selectPending() []uint64 {
	var single, others []uint64
	for fp := range o.pending {
		switch r := o.table.records[fp]; {
		case r == nil:
			delete(o.pending, fp) // expired or evicted
		case r.generation == 0 && len(r.crashIDs) < 2:
			single = append(single, fp)
		default:
			others = append(others, fp)
		}
	}
	byRepeats := func(a, b uint64) int { return cmp.Or(cmp.Compare(o.pending[b], o.pending[a]), cmp.Compare(a, b)) }
	slices.SortFunc(single, byRepeats)
	slices.SortFunc(others, byRepeats)
	first := min(len(others), maxReportRecords-min(len(single), minReportSingles))
	return append(others[:first:first], single[:min(len(single), maxReportRecords-first)]...)
}

// selectRepeats returns the next blocked fingerprints in turn.
func (o *Outbox) selectRepeats() []uint64 {
	var list []uint64
	for fp, r := range o.table.records {
		if len(r.crashIDs) >= o.table.cfg.BlockAfter && o.pending[fp] == 0 {
			list = append(list, fp)
		}
	}
	slices.Sort(list)
	start, _ := slices.BinarySearch(list, o.next)
	n := min(len(list), maxReportRepeats)
	repeats := make([]uint64, 0, n)
	for i := range n {
		repeats = append(repeats, list[(start+i)%len(list)])
	}
	if n > 0 {
		o.next = repeats[n-1] + 1
	}
	return repeats
}
