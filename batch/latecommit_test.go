package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/batch/jobrow"
	"github.com/magnoliausher/magnoliausher/peer"
	"github.com/magnoliausher/magnoliausher/storage"
)

// lateTable gives no response to the commits for which late is set; performLate
// performs them if their conditions still hold.
type lateTable struct {
	rows    map[string]storage.Row
	version uint64
	late    bool
	waiting []storage.Transaction
	writes  map[string]int // by key
}

func newLateTable() *lateTable {
	return &lateTable{rows: make(map[string]storage.Row), writes: make(map[string]int)}
}

func (l *lateTable) Get(_ context.Context, key string) (storage.Row, error) {
	if row, found := l.rows[key]; found {
		return row, nil
	}
	return storage.Row{}, storage.ErrNotFound
}

func (l *lateTable) Scan(_ context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	var list []storage.Row
	for key, row := range l.rows {
		if key > after && strings.HasPrefix(key, prefix) {
			list = append(list, row)
		}
	}
	slices.SortFunc(list, func(a, b storage.Row) int { return strings.Compare(a.Key, b.Key) })
	return list[:min(limit, len(list))], nil
}

func (l *lateTable) Commit(_ context.Context, tx storage.Transaction) ([]uint64, error) {
	if l.late {
		l.waiting = append(l.waiting, tx)
		return nil, storage.ErrUnavailable
	}
	return l.perform(tx)
}

func (l *lateTable) perform(tx storage.Transaction) ([]uint64, error) {
	for _, w := range tx.Writes {
		if !w.Always && l.rows[w.Key].Version != w.IfVersion {
			return nil, storage.ErrConflict
		}
	}
	l.version++
	versions := make([]uint64, len(tx.Writes))
	for i, w := range tx.Writes {
		l.rows[w.Key] = storage.Row{Key: w.Key, Value: w.Value, Version: l.version}
		l.writes[w.Key]++
		versions[i] = l.version
	}
	return versions, nil
}

func (l *lateTable) performLate() {
	for _, tx := range l.waiting {
		_, _ = l.perform(tx) // a conflict is a late commit without effect
	}
	l.waiting = nil
}

// lateCommitter is an owner of job j whose first commit, of two results, gets no response
// and takes effect after a third item has finished.
func lateCommitter(t *testing.T, table *lateTable) (*Service, *runningJob) {
	t.Helper()
	self := peer.Member{Name: "g", Incarnation: 1}
	s, err := New(Config{Self: self, Table: table, Log: zerolog.New(zerolog.NewTestWriter(t))})
	if err != nil {
		t.Fatal(err)
	}
	submission := &Submission{ID: "j"}
	for i := range 4 {
		submission.Items = append(submission.Items, Item{ID: fmt.Sprint("item", i), Tokens: 10})
	}
	if _, err := table.Commit(t.Context(), storage.Transaction{Writes: []storage.Write{{Key: "batch/jobs/job:j",
		Value: mustEncode(t, Job{ID: "j", Owner: "g", OwnerIncarnation: 1, Total: 4, OpenTokens: 40})}}}); err != nil {
		t.Fatal(err)
	}
	e, err := s.readJob(t.Context(), "j")
	if err != nil {
		t.Fatal(err)
	}
	r := newRunningJob(e.Row, submission)
	r.committing = true // no commit in the background
	s.running["j"] = r
	table.late = true
	finishItems(s, r, 2, 0)
	if err := s.commitOnce(r, false); err == nil {
		t.Fatal("a commit without a response succeeded")
	}
	finishItems(s, r, 1)
	table.late = false
	table.performLate()
	return s, r
}

func mustEncode(t *testing.T, job Job) []byte {
	t.Helper()
	value, err := json.Marshal(&job)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// finishItems finishes items in the given order.
func finishItems(s *Service, r *runningJob, indexes ...int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range indexes {
		s.finishItem(r, &r.items[i], Result{Output: fmt.Sprint("output", i)})
	}
}

// checkListed checks the items at the positions of job j, each written once.
func checkListed(t *testing.T, table *lateTable, want ...string) {
	t.Helper()
	var job Job
	if err := json.Unmarshal(table.rows[jobrow.Key("j")].Value, &job); err != nil {
		t.Fatal(err)
	}
	if job.Listed != len(want) || job.OpenTokens != int64(10*(job.Total-len(want))) {
		t.Errorf("%d results listed, %d tokens open", job.Listed, job.OpenTokens)
	}
	for pos, item := range want {
		key := resultKey("j", pos, 0)
		result, _, err := parseResultRow(table.rows[key].Value)
		if err != nil || result.Item != item || table.writes[key] != 1 {
			t.Errorf("position %d holds %q after %d writes, want %q after one; %v", pos, result.Item, table.writes[key], item, err)
		}
	}
}

// Guards against results that are listed again when the commit that listed them takes
// effect after its owner has tried again.
func TestLateCommitIsNotRepeated(t *testing.T) {
	table := newLateTable()
	s, r := lateCommitter(t, table)
	for range 3 { // the first attempt learns of the late commit
		_ = s.commitOnce(r, false)
	}
	checkListed(t, table, "item2", "item0", "item1")
}

// Guards against a peer that lists results again which its predecessor's late commit
// has listed.
func TestHandoverAfterLateCommit(t *testing.T) {
	for _, learned := range []bool{false, true} { // whether the owner knows of its late commit when it hands over
		table := newLateTable()
		s, r := lateCommitter(t, table)
		if learned {
			_ = s.commitOnce(r, false)
		}
		taker, err := New(Config{Self: peer.Member{Name: "taker", Incarnation: 2}, Table: table, Log: zerolog.New(zerolog.NewTestWriter(t))})
		if err != nil {
			t.Fatal(err)
		}
		s.cfg.Members = func() []peer.MemberStatus { return nil }
		s.mu.Lock()
		data, err := json.Marshal(&handover{Row: r.row, Submission: r.submission, Items: r.keepItems()})
		s.mu.Unlock()
		if err != nil {
			t.Fatal(err)
		}
		var h handover
		if err := json.Unmarshal(data, &h); err != nil {
			t.Fatal(err)
		}
		taken, err := newTakenJob(&h)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := taker.admitHandover(taken); err != nil {
			t.Fatal(err)
		}
		finishItems(taker, taken, 3)
		for range 3 {
			_ = taker.commitOnce(taken, false)
		}
		checkListed(t, table, "item2", "item0", "item1", "item3")
	}
}
