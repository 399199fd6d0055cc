package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/batch/jobrow"
	"github.com/magnoliausher/magnoliausher/peer"
	"github.com/magnoliausher/magnoliausher/storage"
)

// lostAnswerTable applies the first commit but returns an error for it, and
// delays the answer to the first read.
type lostAnswerTable struct {
	mu      sync.Mutex
	rows    map[string]storage.Row
	version uint64
	commits int
	reads   int
}

func (l *lostAnswerTable) Get(_ context.Context, key string) (storage.Row, error) {
	l.mu.Lock()
	row, found := l.rows[key]
	l.reads++
	first := l.reads == 1
	l.mu.Unlock()
	if first {
		time.Sleep(200 * time.Millisecond)
	}
	if !found {
		return row, storage.ErrNotFound
	}
	return row, nil
}

func (l *lostAnswerTable) Scan(context.Context, string, string, int) ([]storage.Row, error) {
	return nil, nil
}

func (l *lostAnswerTable) Commit(_ context.Context, tx storage.Transaction) ([]uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range tx.Writes {
		if !w.Always && l.rows[w.Key].Version != w.IfVersion {
			return nil, storage.ErrConflict
		}
	}
	l.version++
	versions := make([]uint64, len(tx.Writes))
	for i, w := range tx.Writes {
		l.rows[w.Key] = storage.Row{Key: w.Key, Value: w.Value, Version: l.version}
		versions[i] = l.version
	}
	l.commits++
	if l.commits == 1 {
		return nil, storage.ErrUnavailable
	}
	return versions, nil
}

// storedRow returns the row of a job as the store holds it.
func storedRow(t *testing.T, job Job, version uint64) jobrow.Row {
	t.Helper()
	value, err := json.Marshal(&job)
	if err != nil {
		t.Fatal(err)
	}
	row, err := jobrow.Parse(storage.Row{Key: jobrow.Key(job.ID), Value: value, Version: version})
	if err != nil {
		t.Fatal(err)
	}
	return row
}

// Guards against results that are lost or overwritten when the commit of a
// shutdown overlaps one whose answer was lost.
func TestCommitsOfOneJobDoNotOverlap(t *testing.T) {
	self := peer.Member{Name: "g", Incarnation: 1}
	job := Job{ID: "j", Owner: self.Name, OwnerIncarnation: self.Incarnation, Total: 4}
	row := storedRow(t, job, 1)
	value, err := json.Marshal(&job)
	if err != nil {
		t.Fatal(err)
	}
	table := &lostAnswerTable{rows: map[string]storage.Row{jobrow.Key("j"): {Key: jobrow.Key("j"), Value: value, Version: 1}}, version: 1}
	s, err := New(Config{Self: self, Table: table, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	s.mirror.recordJob(row)
	submission := &Submission{ID: "j"}
	for i := range 4 {
		submission.Items = append(submission.Items, Item{ID: fmt.Sprint("item", i)})
	}
	r := newRunningJob(row, submission)
	finish := func(index int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		r.items[index].result = Result{Item: fmt.Sprint("item", index)}
		r.items[index].state = itemFinished
		r.finished = append(r.finished, index)
	}
	finish(0)
	finish(1)
	var commits sync.WaitGroup
	commits.Go(func() { _ = s.commitOnce(r, false) }) // the rows checked below reveal an error
	time.Sleep(50 * time.Millisecond)
	finish(2)
	finish(3)
	commits.Go(func() {
		for s.commitOnce(r, false) != nil {
		}
	})
	commits.Wait()
	for left := 1; left > 0; {
		_ = s.commitOnce(r, false)
		s.mu.Lock()
		left = len(r.finished)
		s.mu.Unlock()
	}
	if listed := r.row.Job().Listed; listed != 4 {
		t.Errorf("%d results listed, want 4", listed)
	}
	for pos := range 4 {
		result, _, err := parseResultRow(table.rows[resultKey("j", pos, 0)].Value)
		if err != nil || result.Item != fmt.Sprint("item", pos) {
			t.Errorf("position %d holds %q, %v", pos, result.Item, err)
		}
	}
}
