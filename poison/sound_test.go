package poison

import (
	"testing"
	"time"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// exchange merges the state of each table into the other, as far as it changes.
func exchange(a, b *Table, now time.Time) {
	a.Merge(b.Export(now), now)
	b.Merge(a.Export(now), now)
}

// Guards against blocking a part that deadly requests share with sound ones, also if
// only another process has seen an answer to the sound ones.
func TestSoundPartIsNotBlocked(t *testing.T) {
	const shared, deadly = uint64(1), uint64(2)
	subject := &Subject{RequestID: "r", Parts: []Part{{Fingerprint: shared}}}
	for _, answeredFirst := range []bool{true, false} {
		seesCrashes, seesAnswers := NewTable(Config{BlockAfter: 3}), NewTable(Config{BlockAfter: 3})
		now := start
		if answeredFirst {
			seesAnswers.RecordSound(subject, now)
		}
		for id := range uint64(6) {
			now = now.Add(300 * time.Millisecond)
			seesCrashes.RecordCrash(id+1, []uint64{shared, deadly}, now)
			exchange(seesCrashes, seesAnswers, now)
		}
		if !answeredFirst {
			seesAnswers.RecordSound(subject, now)
			exchange(seesCrashes, seesAnswers, now)
		}
		for _, table := range []*Table{seesCrashes, seesAnswers} {
			if table.Status(shared, now) == Blocked || table.Status(deadly, now) != Blocked {
				t.Errorf("answered first %v: shared part %v, deadly part %v", answeredFirst, table.Status(shared, now), table.Status(deadly, now))
			}
		}
	}
}

// Guards against a part that began to crash upstreams and stays unblocked because it
// was sound before.
func TestSoundnessExpires(t *testing.T) {
	table, now := NewTable(Config{BlockAfter: 3}), start
	table.RecordSound(&Subject{Parts: []Part{{Fingerprint: fp}}}, now)
	for id := range uint64(3) {
		if recorded := table.RecordCrash(id+1, []uint64{fp}, now); len(recorded) != 0 {
			t.Fatalf("recorded %v against a sound part", recorded)
		}
	}
	now = now.Add(DefaultSoundTTL)
	for id := range uint64(3) {
		table.RecordCrash(id+4, []uint64{fp}, now)
	}
	if table.Status(fp, now) != Blocked {
		t.Error("not blocked after three crashes")
	}
}

// Guards against a stale copy that blocks a released part again, and against changes
// that are not logged.
func TestReleaseHoldsAgainstOldCopies(t *testing.T) {
	var changes []Change
	table := NewTable(Config{BlockAfter: 3, OnChange: func(c Change) { changes = append(changes, c) }})
	for id := range uint64(3) {
		table.RecordCrash(id+1, []uint64{fp}, start)
	}
	stale := table.Export(start)
	table.RecordSound(&Subject{RequestID: "r", Parts: []Part{{Fingerprint: fp}}}, start)
	other := NewTable(Config{BlockAfter: 3})
	other.Merge(table.Export(start), start)
	for _, copied := range []*Table{table, other} {
		copied.Merge(stale, start.Add(time.Second))
		if copied.Status(fp, start.Add(time.Second)) != Clear {
			t.Error("a copy of the earlier state blocks the part again")
		}
	}
	if len(changes) != 2 || !changes[0].Blocked || changes[1].Blocked || changes[1].Evidence != (Evidence{Kind: EvidenceAnswer, RequestID: "r"}) {
		t.Errorf("changes %+v", changes)
	}
	if len(table.records) != 1 {
		t.Errorf("%d records", len(table.records))
	}
	table.Export(start.Add(2 * clearedTTL))
	table.Merge([]*rpc.Suspect{{Fingerprint: 99, CrashIds: []uint64{1}, ExpiresInMs: 1000}}, start.Add(2*clearedTTL))
	table.Export(start.Add(2 * clearedTTL))
	if len(table.records) != 1 {
		t.Errorf("%d records after the cleared one has expired", len(table.records))
	}
}
