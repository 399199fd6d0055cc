package job

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	lru "github.com/hashicorp/golang-lru/v2"
)

// countAge is the time for which counts of a running job serve all readers, so
// that callers who poll a large job cost one scan per entry.
const countAge = 2 * time.Second

// countJobs bounds the number of jobs whose counts are kept.
const countJobs = 4096

type countKey struct {
	job    string
	status Status
}

type countEntry struct {
	counts *Counts
	at     time.Time
}

// countCache keeps counts that come from chunk rows. Its zero value is ready.
type countCache struct {
	once  sync.Once
	cache *lru.Cache[countKey, countEntry]
}

// get returns the counts of a job. Those of an ended job never change.
func (c *countCache) get(ctx context.Context, s *Store, j *Job) (*Counts, error) {
	if j.Counts != nil {
		return j.Counts, nil
	}
	c.once.Do(func() { c.cache, _ = lru.New[countKey, countEntry](countJobs) }) // fails for sizes below 1 only
	key := countKey{job: j.ID, status: j.Status}
	if e, ok := c.cache.Get(key); ok && (j.Status.Final() || time.Since(e.at) < countAge) {
		return e.counts, nil
	}
	done, err := s.DoneChunks(ctx, j)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	e := countEntry{counts: countsOf(j, done), at: time.Now()}
	c.cache.Add(key, e)
	return e.counts, nil
}
