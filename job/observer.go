package job

import "time"

// observation is a claimed row's version and when it was first seen.
type observation struct {
	version uint64
	since   time.Time
}

// ExpiryTracker judges the expiry of claims by the observer's own monotonic clock:
// clocks of instances are not trusted to agree.
type ExpiryTracker struct {
	seen map[string]observation
}

// NewExpiryTracker returns an observer that has seen nothing.
func NewExpiryTracker() *ExpiryTracker { return &ExpiryTracker{seen: make(map[string]observation)} }

// Expired records that a job's chunk row was read at now, and reports whether it has had
// the same version for ClaimExpiry. now must carry a monotonic reading.
func (o *ExpiryTracker) Expired(job string, c Chunk, now time.Time) bool {
	key := chunkKey(job, c.Index)
	if c.State != ChunkClaimed {
		delete(o.seen, key)
		return false
	}
	seen, ok := o.seen[key]
	if !ok || seen.version != c.Version {
		o.seen[key] = observation{version: c.Version, since: now}
		return false
	}
	return now.Sub(seen.since) >= ClaimExpiry
}

// Retain forgets the chunks of jobs for which keep is false.
func (o *ExpiryTracker) Retain(keep func(job string) bool) {
	for key := range o.seen {
		job := key[len(chunkPrefix) : len(key)-len("/000000")]
		if !keep(job) {
			delete(o.seen, key)
		}
	}
}
