// Package jobrow reads and writes the rows of batch jobs.
//
// The version of a row protects what the row lists only if the writer knows the
// state that belongs to the version. A Row therefore comes from the store alone: Parse
// reads one, and Draft.Commit returns the one that it wrote.
package jobrow

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"strings"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/storage"
)

// KeyPrefix is the prefix of the keys of job rows.
const KeyPrefix = "batch/jobs/job:"

// Key returns the key of a job's row.
func Key(id string) string { return KeyPrefix + id }

// ID returns the ID of the job that a row with the key belongs to.
func ID(key string) string { return strings.TrimPrefix(key, KeyPrefix) }

// Job is the content of a job's row. The fields are encoded under their Go names.
type Job struct {
	ID               string
	Route            string
	Owner            string `json:",omitempty"` // name of a gateway; empty after the owner released the job
	OwnerIncarnation uint64 `json:",omitempty"`
	Created          int64  // Unix time in ms, by the clock of the gateway that accepted the job
	Total            int
	Listed           int    // number of stored results, at positions 0 to Listed-1
	OpenTokens       int64  // tokens of the items without a listed result
	Organisation     string `json:",omitempty"` // of the caller that submitted the job; empty for none
	// ConfigurationVersion is the newest version of the configuration under which the job
	// was accepted or run. It never decreases, and is 0 in rows of earlier builds.
	ConfigurationVersion uint64      `json:",omitempty"`
	Ended                bool        `json:",omitempty"` // the client cancelled the job
	Failures             map[int]int `json:",omitempty"` // failed attempts of unfinished items, by item index
	Commit               uint64      // random; lets the writer of a version verify that its write took effect
}

// Closed reports whether no item of the job is to run any more.
func (j *Job) Closed() bool { return j.Ended || j.Listed >= j.Total }

// AccessibleBy reports whether callers of an organisation may read and cancel the job.
func (j *Job) AccessibleBy(organisation string) bool {
	return j.Organisation == "" || j.Organisation == organisation
}

// Process is one process of a gateway.
type Process struct {
	Name        string // of the gateway
	Incarnation uint64
}

// OwnedBy reports whether a process owns the job.
func (j *Job) OwnedBy(p Process) bool { return j.Owner != "" && j.owner() == p }

// SameOwner reports whether the same process owns both jobs.
func (j *Job) SameOwner(other *Job) bool { return other.OwnedBy(j.owner()) }

// SetOwner makes a process the owner of the job.
func (j *Job) SetOwner(p Process) { j.Owner, j.OwnerIncarnation = p.Name, p.Incarnation }

func (j *Job) owner() Process { return Process{j.Owner, j.OwnerIncarnation} }

// Row is a job's row: its content and the version under which the store holds it. The
// zero Row stands for no row.
type Row struct {
	job     Job
	version uint64
}

// Parse decodes a row of the store.
func Parse(r storage.Row) (Row, error) {
	row := Row{version: r.Version}
	if err := json.Unmarshal(r.Value, &row.job); err != nil {
		return Row{}, trace.Wrap(err, "row %q", r.Key)
	}
	if Key(row.job.ID) != r.Key || r.Version == 0 {
		return Row{}, trace.BadParameter("row %q holds job %q at version %d", r.Key, row.job.ID, r.Version)
	}
	return row, nil
}

// Job returns the content of the row.
func (r Row) Job() *Job {
	job := r.job
	return &job
}

// Version returns the version of the row, 0 for no row.
func (r Row) Version() uint64 { return r.version }

// MarshalJSON encodes the row as the store holds it.
func (r Row) MarshalJSON() ([]byte, error) {
	return json.Marshal(storage.Row{Key: Key(r.job.ID), Version: r.version, Value: encode(&r.job)})
}

// UnmarshalJSON decodes what MarshalJSON encoded.
func (r *Row) UnmarshalJSON(data []byte) error {
	var row storage.Row
	err := json.Unmarshal(data, &row)
	if err == nil {
		*r, err = Parse(row)
	}
	return trace.Wrap(err)
}

// Removal returns the write that deletes the row if it is unchanged.
func (r Row) Removal() storage.Write {
	return storage.Write{Key: Key(r.job.ID), IfVersion: r.version, Delete: true}
}

// Draft is a write that follows one row only.
type Draft struct {
	next Job
	base uint64 // version of the row that it follows; 0 for a new job
}

// New returns the write of the first row of a job.
func New(job Job) Draft {
	job.Commit = rand.Uint64()
	return Draft{next: job}
}

// Edit returns the write of the row with a change.
func (r Row) Edit(change func(*Job)) Draft {
	next := r.job
	next.Failures = maps.Clone(next.Failures)
	change(&next)
	next.ID, next.Commit = r.job.ID, rand.Uint64()
	next.ConfigurationVersion = max(next.ConfigurationVersion, r.job.ConfigurationVersion)
	return Draft{next: next, base: r.version}
}

// Commit writes the row and, in the same transaction, other rows. It returns the new
// row and the versions of the others. After storage.ErrUnavailable the write may have
// taken effect, or may take effect later.
func (d Draft) Commit(ctx context.Context, table storage.Table, others ...storage.Write) (Row, []uint64, error) {
	writes := append([]storage.Write{{Key: Key(d.next.ID), Value: encode(&d.next), IfVersion: d.base}}, others...)
	versions, err := table.Commit(ctx, storage.Transaction{Writes: writes})
	if err != nil {
		return Row{}, nil, err
	}
	return Row{job: d.next, version: versions[0]}, versions[1:], nil
}

func encode(j *Job) []byte {
	value, err := json.Marshal(j)
	if err != nil {
		panic(err) // unreachable: a struct of strings and numbers always encodes
	}
	return value
}
