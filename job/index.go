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

// RunningJob is a running job as the index lists it.
type RunningJob struct {
	ID           string    `json:"id"`
	Organisation string    `json:"o"`
	Service      string    `json:"s"`
	Chunks       int       `json:"c"`
	Created      time.Time `json:"t"`
	Deadline     time.Time `json:"d"`
}

func runningOf(j *Job) RunningJob {
	return RunningJob{
		ID: j.ID, Organisation: j.Organisation, Service: j.Service,
		Chunks: j.Chunks(), Created: j.Created, Deadline: j.Deadline,
	}
}

// indexWrites gives the writes that add the job to the index or remove it. The
// version row is written without a condition, so that jobs of different buckets
// never conflict and readers need only the small version rows.
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
		list = append(list, runningOf(j))
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

// IndexReader follows the index of running jobs. A refresh scans the version
// rows and reads only buckets that changed. It is not safe for concurrent use.
type IndexReader struct {
	table    storage.Table
	versions [buckets]uint64
	lists    [buckets][]RunningJob
}

// NewIndexReader returns a reader with nothing read yet.
func NewIndexReader(table storage.Table) *IndexReader { return &IndexReader{table: table} }

// Refresh returns the running jobs by id order. The slice is the caller's.
func (x *IndexReader) Refresh(ctx context.Context) ([]RunningJob, error) {
	rows, err := x.table.Scan(ctx, versionPrefix, "", buckets)
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

// refreshBucket reads a bucket whose version row changed. The bucket read may
// be newer than the version row, which costs one more read later.
func (x *IndexReader) refreshBucket(ctx context.Context, version storage.Row) error {
	b, err := strconv.Atoi(strings.TrimPrefix(version.Key, versionPrefix))
	if err != nil || b < 0 || b >= buckets || x.versions[b] == version.Version {
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
