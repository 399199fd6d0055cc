package job

import "time"

// observation is a row version and the time at which it was first seen.
type observation struct {
	version uint64
	since   time.Time
}

// ExpiryTracker determines whether claims have expired by the local monotonic
// clock, because the clocks of instances may differ.
type ExpiryTracker struct {
	seen map[string]observation
}

// NewExpiryTracker returns an empty tracker.
func NewExpiryTracker() *ExpiryTracker { return &ExpiryTracker{seen: make(map[string]observation)} }

// Expired records that a chunk's row was read at now, and reports whether the row
// is claimed and has had the same version for ClaimExpiry. now must have a
// monotonic clock reading.
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

// Retain removes the chunks of jobs for which keep returns false.
func (o *ExpiryTracker) Retain(keep func(job string) bool) {
	for key := range o.seen {
		job := key[len(chunkPrefix) : len(key)-len("/000000")]
		if !keep(job) {
			delete(o.seen, key)
		}
	}
}
