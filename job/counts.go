package job

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	lru "github.com/hashicorp/golang-lru/v2"
)

// countsTTL is the time for which counts of a running job are cached, so that all
// callers who poll a large job share one scan per entry.
const countsTTL = 2 * time.Second

// maxCachedCounts is the maximum number of cached counts.
const maxCachedCounts = 4096

type countKey struct {
	job    string
	status Status
}

type countEntry struct {
	counts *Counts
	readAt time.Time
}

// countCache caches counts computed from chunk rows. The zero value is usable.
type countCache struct {
	once  sync.Once
	cache *lru.Cache[countKey, countEntry]
}

// get returns the counts of a job. Counts of an ended job never change.
func (c *countCache) get(ctx context.Context, s *Store, j *Job) (*Counts, error) {
	if j.Counts != nil {
		return j.Counts, nil
	}
	c.once.Do(func() { c.cache, _ = lru.New[countKey, countEntry](maxCachedCounts) }) // fails only for sizes below 1
	key := countKey{job: j.ID, status: j.Status}
	if e, ok := c.cache.Get(key); ok && (j.Status.Final() || time.Since(e.readAt) < countsTTL) {
		return e.counts, nil
	}
	done, err := s.DoneChunks(ctx, j)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	e := countEntry{counts: countsOf(j, done), readAt: time.Now()}
	c.cache.Add(key, e)
	return e.counts, nil
}
