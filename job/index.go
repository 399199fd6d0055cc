package job

import (
	"context"
	"encoding/json"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/storage"
)

// RunningJob is the index record of a running job.
type RunningJob struct {
	ID           string    `json:"id"`
	Organisation string    `json:"o"`
	Service      string    `json:"s"`
	Chunks       int       `json:"c"`
	Created      time.Time `json:"t"`
	Deadline     time.Time `json:"d"`
}

func newRunningJob(j *Job) RunningJob {
	return RunningJob{
		ID: j.ID, Organisation: j.Organisation, Service: j.Service,
		Chunks: j.Chunks(), Created: j.Created, Deadline: j.Deadline,
	}
}

// indexWrites returns the writes that add a job to the index or remove an ended
// one. The version row is written unconditionally, so jobs in different buckets
// never conflict. Readers poll only the small version rows.
func (s *Store) indexWrites(ctx context.Context, j *Job) ([]storage.Write, error) {
	b := bucketOf(j.ID)
	row, err := s.getRow(ctx, bucketKey(b))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	list, err := decodeBucket(row)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	list = slices.DeleteFunc(list, func(r RunningJob) bool { return r.ID == j.ID })
	if !j.Status.Final() {
		list = append(list, newRunningJob(j))
	}
	value, err := json.Marshal(list)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return []storage.Write{
		{Key: bucketKey(b), Value: value, IfVersion: row.Version},
		{Key: versionKey(b), Value: []byte("1"), Always: true},
	}, nil
}

func decodeBucket(row storage.Row) ([]RunningJob, error) {
	if row.Version == 0 {
		return nil, nil
	}
	var list []RunningJob
	err := json.Unmarshal(row.Value, &list)
	return list, trace.Wrap(err, "row %s", row.Key)
}

// IndexReader reads the index of running jobs incrementally: a refresh scans the
// version rows and reads only the buckets that changed. It is not safe for
// concurrent use.
type IndexReader struct {
	table    storage.Table
	versions [indexBuckets]uint64
	lists    [indexBuckets][]RunningJob
}

// NewIndexReader returns a reader whose first refresh reads the whole index.
func NewIndexReader(table storage.Table) *IndexReader { return &IndexReader{table: table} }

// Refresh returns the running jobs ordered by id. The caller owns the slice.
func (x *IndexReader) Refresh(ctx context.Context) ([]RunningJob, error) {
	rows, err := x.table.Scan(ctx, indexVersionPrefix, "", indexBuckets)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, row := range rows {
		if err := x.refreshBucket(ctx, row); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	var all []RunningJob
	for _, list := range x.lists {
		all = append(all, list...)
	}
	sort.Slice(all, func(i, k int) bool { return all[i].ID < all[k].ID })
	return all, nil
}

// refreshBucket reads a bucket if its version row changed. The bucket may be newer
// than the version row, in which case the next refresh reads it again.
func (x *IndexReader) refreshBucket(ctx context.Context, version storage.Row) error {
	b, err := strconv.Atoi(strings.TrimPrefix(version.Key, indexVersionPrefix))
	if err != nil || b < 0 || b >= indexBuckets || x.versions[b] == version.Version {
		return nil
	}
	row, err := x.table.Get(ctx, bucketKey(b))
	if err != nil {
		return trace.Wrap(err)
	}
	list, err := decodeBucket(row)
	if err != nil {
		return trace.Wrap(err)
	}
	x.lists[b] = list
	x.versions[b] = version.Version
	return nil
}
