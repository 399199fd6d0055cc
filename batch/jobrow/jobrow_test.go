package jobrow_test

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/magnoliausher/magnoliausher/batch/jobrow"
	"github.com/magnoliausher/magnoliausher/storage"
)

// rowTable is a table with one row and ascending versions.
type rowTable struct {
	storage.Table
	row storage.Row
}

func (m *rowTable) Commit(_ context.Context, tx storage.Transaction) ([]uint64, error) {
	if tx.Writes[0].IfVersion != m.row.Version {
		return nil, storage.ErrConflict
	}
	m.row = storage.Row{Key: tx.Writes[0].Key, Value: tx.Writes[0].Value, Version: m.row.Version + 1}
	return make([]uint64, len(tx.Writes)), nil
}

func row(t *testing.T, version uint64, job jobrow.Job) jobrow.Row {
	t.Helper()
	job.ID = "j"
	value, err := json.Marshal(&job)
	if err != nil {
		t.Fatal(err)
	}
	r, err := jobrow.Parse(storage.Row{Key: jobrow.Key("j"), Value: value, Version: version})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func owned(by string, listed int) jobrow.Job {
	return jobrow.Job{Owner: by, OwnerIncarnation: 1, Total: 4, Listed: listed}
}

// Guards against a write that follows a row other than the one whose state it changes.
func TestDraftFollowsItsRow(t *testing.T) {
	table := &rowTable{}
	if _, _, err := jobrow.New(jobrow.Job{ID: "j", Total: 4}).Commit(t.Context(), table); err != nil {
		t.Fatal(err)
	}
	first, err := jobrow.Parse(table.row)
	if err != nil {
		t.Fatal(err)
	}
	list := func(j *jobrow.Job) { j.Listed++ }
	if _, _, err := first.Edit(list).Commit(t.Context(), table); err != nil {
		t.Fatal(err)
	}
	if _, _, err := first.Edit(list).Commit(t.Context(), table); err == nil {
		t.Error("a second write followed the same row")
	}
	second, err := jobrow.Parse(table.row)
	if err != nil || second.Job().Listed != 1 || first.Job().Listed != 0 {
		t.Errorf("listed %d and %d, %v", first.Job().Listed, second.Job().Listed, err)
	}
}

// Guards against rows that are taken for a job's although they are not.
func TestParseRejects(t *testing.T) {
	for name, r := range map[string]storage.Row{
		"no JSON":     {Key: jobrow.Key("j"), Value: []byte("x"), Version: 1},
		"another job": {Key: jobrow.Key("j"), Value: []byte(`{"ID":"k"}`), Version: 1},
		"no version":  {Key: jobrow.Key("j"), Value: []byte(`{"ID":"j"}`)},
	} {
		if _, err := jobrow.Parse(r); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// Guards against a row that changes on its way to a peer.
func TestRowSurvivesEncoding(t *testing.T) {
	sent := row(t, 7, jobrow.Job{Owner: "a", OwnerIncarnation: 1, Total: 4, Listed: 2, Failures: map[int]int{3: 1}, Commit: 9})
	data, err := json.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	var got jobrow.Row
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if job := got.Job(); got.Version() != 7 || job.Listed != 2 || job.Failures[3] != 1 || job.Commit != 9 || job.Owner != "a" {
		t.Errorf("got %+v at %d", job, got.Version())
	}
}

// Guards against an owner that takes a changed row for its own state.
func TestResolve(t *testing.T) {
	self := jobrow.Process{Name: "a", Incarnation: 1}
	held := row(t, 5, owned("a", 1))
	taken := row(t, 5, owned("b", 1))
	ended := owned("a", 1)
	ended.Ended = true
	cases := []struct {
		name       string
		held, read jobrow.Row
		want       jobrow.Outcome
	}{
		{"unchanged", held, held, jobrow.Pending},
		{"older", held, row(t, 4, owned("a", 1)), jobrow.Pending},
		{"own earlier write", held, row(t, 6, owned("a", 3)), jobrow.Overtaken},
		{"claimed by another", held, row(t, 6, owned("b", 1)), jobrow.Lost},
		{"another process of the gateway", held, row(t, 6, jobrow.Job{Owner: "a", OwnerIncarnation: 2, Total: 4}), jobrow.Lost},
		{"released", held, row(t, 6, jobrow.Job{Total: 4, Listed: 1}), jobrow.Lost},
		{"cancelled", held, row(t, 6, ended), jobrow.Lost},
		{"late write of the owner that handed over", taken, row(t, 6, owned("b", 3)), jobrow.Overtaken},
		{"own earlier claim", taken, row(t, 6, owned("a", 2)), jobrow.Overtaken},
		{"claimed by a third", taken, row(t, 6, owned("c", 1)), jobrow.Lost},
	}
	for _, c := range cases {
		if got := jobrow.Resolve(c.held, c.held.Edit(func(j *jobrow.Job) { j.Listed++ }), c.read, self); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	table := &rowTable{row: storage.Row{Version: 5}}
	draft := held.Edit(func(j *jobrow.Job) { j.Listed++ })
	if _, _, err := draft.Commit(t.Context(), table); err != nil {
		t.Fatal(err)
	}
	written, err := jobrow.Parse(table.row)
	if err != nil {
		t.Fatal(err)
	}
	if got := jobrow.Resolve(held, draft, written, self); got != jobrow.Performed {
		t.Errorf("own write: %v", got)
	}
}

// Guards against a stale state of a job that replaces a later one, and against a job
// that nobody runs since a proper handover was rejected.
func TestDecideOffer(t *testing.T) {
	offered := row(t, 5, owned("a", 1))
	cases := []struct {
		name           string
		known, running jobrow.Row
		want           jobrow.Offer
	}{
		{"never heard of", jobrow.Row{}, jobrow.Row{}, jobrow.Accept},
		{"the same row", offered, jobrow.Row{}, jobrow.Accept},
		{"late write of the owner", row(t, 6, owned("a", 2)), jobrow.Row{}, jobrow.Accept},
		{"released since", row(t, 6, jobrow.Job{Total: 4, Listed: 2}), jobrow.Row{}, jobrow.Accept},
		{"claimed since", row(t, 6, owned("b", 1)), jobrow.Row{}, jobrow.Stale},
		{"complete", row(t, 9, owned("b", 4)), jobrow.Row{}, jobrow.Stale},
		{"complete by a late write", row(t, 9, owned("a", 4)), jobrow.Row{}, jobrow.Stale},
		{"offered again", offered, offered, jobrow.Repeat},
		{"runs in a later state", jobrow.Row{}, row(t, 6, owned("b", 2)), jobrow.Stale},
		{"runs in an older state", row(t, 4, owned("b", 0)), row(t, 4, owned("b", 0)), jobrow.Replace},
	}
	for _, c := range cases {
		if got := jobrow.DecideOffer(offered, c.known, c.running); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if got := jobrow.DecideOffer(row(t, 5, owned("a", 4)), jobrow.Row{}, jobrow.Row{}); got != jobrow.Stale {
		t.Errorf("complete job: %v", got)
	}
}
