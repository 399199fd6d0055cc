package batch

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/magnoliausher/magnoliausher/batch/jobrow"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/storage"
)

// Guards against a configuration that decides on jobs which it may not know, and against
// jobs of the build before, whose rows name no version, that no gateway runs.
func TestTermsNeedTheConfigurationOfTheJob(t *testing.T) {
	for _, c := range []struct {
		name                 string
		row, handover, local uint64
		ok                   bool
	}{
		{"no configuration yet", 0, 0, 0, false},
		{"row of the build before", 0, 0, 3, true},
		{"accepted under the same", 7, 0, 7, true},
		{"accepted under an older one", 3, 0, 7, true},
		{"accepted under a newer one", 7, 0, 3, false},
		{"run under a newer one", 3, 9, 7, false},
		{"handed over by the build before", 7, 0, 9, true},
	} {
		value, err := json.Marshal(jobrow.Job{ID: "j", Total: 1, ConfigurationVersion: c.row})
		if err != nil {
			t.Fatal(err)
		}
		row, err := jobrow.Parse(storage.Row{Key: jobrow.Key("j"), Value: value, Version: 1})
		if err != nil {
			t.Fatal(err)
		}
		r, err := newTakenJob(&handover{Row: row, Submission: &Submission{ID: "j", Items: make([]Item, 1)}, Items: make([]keptItem, 1), ConfigurationVersion: c.handover})
		if err != nil {
			t.Fatal(err)
		}
		var configuration *fleet.Configuration
		if c.local > 0 {
			configuration = fleet.NewConfiguration(c.local, nil, fleet.Limits{})
		}
		if _, ok := newTerms(r, configuration); ok != c.ok {
			t.Errorf("%s: %v", c.name, ok)
		}
		next := row.Edit(func(j *Job) { j.ConfigurationVersion = 1 })
		r.row = row
		draft, _, _ := r.prepareCommit(func(*Job) {})
		if want := max(c.row, c.handover); versionOf(t, draft) != want || versionOf(t, next) != max(c.row, 1) {
			t.Errorf("%s: the next row names %d, want %d", c.name, versionOf(t, draft), want)
		}
	}
}

// versionOf returns the version of the configuration in the row that a draft writes.
func versionOf(t *testing.T, d jobrow.Draft) uint64 {
	t.Helper()
	row, _, err := d.Commit(t.Context(), acceptingTable{})
	if err != nil {
		t.Fatal(err)
	}
	return row.Job().ConfigurationVersion
}

// acceptingTable performs all commits.
type acceptingTable struct{ storage.Table }

func (acceptingTable) Commit(_ context.Context, tx storage.Transaction) ([]uint64, error) {
	return make([]uint64, len(tx.Writes)), nil
}
