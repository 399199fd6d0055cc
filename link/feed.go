package link

import (
	"time"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// Limits of the announcements of cancelled jobs. They speed up what holders
// also learn by reading the rows of their jobs every 2 s.
const (
	// cancelledKept is how long an id is remembered, so that it is not
	// forwarded again when it returns over another path.
	cancelledKept = 10 * time.Minute
	// cancelledForwarded is how long after its arrival an id is still sent to
	// links that open. It is far shorter than cancelledKept, so an id cannot
	// circulate after it was forgotten somewhere.
	cancelledForwarded = 30 * time.Second
	maxCancelled       = 2048
)

// cancelledJob is one announcement.
type cancelledJob struct {
	id       string
	sequence uint64 // order of arrival, from 1
	at       time.Time
	from     string // peer that announced it; empty for this process
}

// cancelledJobs is the bounded set of announcements in order of arrival.
type cancelledJobs struct {
	known    map[string]struct{}
	order    []cancelledJob
	sequence uint64
}

func newCancelledJobs() *cancelledJobs {
	return &cancelledJobs{known: make(map[string]struct{})}
}

// add reports whether the id is new.
func (c *cancelledJobs) add(id, from string, now time.Time) bool {
	c.expire(now)
	if _, ok := c.known[id]; ok || id == "" {
		return false
	}
	if len(c.order) >= maxCancelled {
		c.drop(1)
	}
	c.sequence++
	c.known[id] = struct{}{}
	c.order = append(c.order, cancelledJob{id: id, sequence: c.sequence, at: now, from: from})
	return true
}

func (c *cancelledJobs) expire(now time.Time) {
	n := 0
	for n < len(c.order) && now.Sub(c.order[n].at) >= cancelledKept {
		n++
	}
	c.drop(n)
}

func (c *cancelledJobs) drop(n int) {
	for _, job := range c.order[:n] {
		delete(c.known, job.id)
	}
	c.order = c.order[n:]
}

// since returns the ids to forward to a peer that arrived after the sequence
// number, and the number to pass next time.
func (c *cancelledJobs) since(sequence uint64, peer string, now time.Time) ([]string, uint64) {
	var ids []string
	for i := len(c.order) - 1; i >= 0; i-- {
		job := &c.order[i]
		if job.sequence <= sequence || now.Sub(job.at) >= cancelledForwarded {
			break
		}
		if job.from == "" || job.from != peer {
			ids = append(ids, job.id)
		}
	}
	return ids, c.sequence
}

// Limits of the versions in force.
const (
	// maxVersions bounds the table; the target size has 3,030 instances.
	maxVersions = 4096
	// versionsPerMessage and versionsEvery bound the cost per direction of a
	// link: one item of about 35 bytes every 4 s. With one per message the
	// versions alone took 40 of the 93 bytes/s that 96 links may use each.
	versionsPerMessage = 1
	versionsEvery      = 2 * reportMax
)

// versionRecord is the version last heard of one instance.
type versionRecord struct {
	version  uint64
	heardAt  time.Time
	sequence uint64 // of the last rise
	from     string // peer that reported the rise
}

// versionLog holds the versions in force, and the order in which they rose.
type versionLog struct {
	records  map[string]*versionRecord // by instance id
	order    []versionRise             // ascending; superseded ones are skipped
	sequence uint64
}

type versionRise struct {
	id       string
	sequence uint64
}

func newVersionLog() *versionLog {
	return &versionLog{records: make(map[string]*versionRecord)}
}

// note takes a version of an instance that a peer reported. Versions only rise.
func (l *versionLog) note(id string, version uint64, heardAt time.Time, from string) {
	if id == "" {
		return
	}
	r := l.records[id]
	if r == nil {
		if len(l.records) >= maxVersions {
			l.removeOldest()
		}
		r = &versionRecord{}
		l.records[id] = r
	}
	if heardAt.After(r.heardAt) {
		r.heardAt = heardAt
	}
	if version <= r.version {
		return
	}
	r.version = version
	r.from = from
	l.sequence++
	r.sequence = l.sequence
	l.order = append(l.order, versionRise{id: id, sequence: l.sequence})
	if len(l.order) > 2*len(l.records)+versionsPerMessage {
		l.compact()
	}
}

func (l *versionLog) removeOldest() {
	var oldest string
	for id, r := range l.records {
		if oldest == "" || r.heardAt.Before(l.records[oldest].heardAt) {
			oldest = id
		}
	}
	delete(l.records, oldest)
}

// compact drops superseded rises.
func (l *versionLog) compact() {
	kept := l.order[:0]
	for _, rise := range l.order {
		if l.isCurrent(rise) {
			kept = append(kept, rise)
		}
	}
	l.order = kept
}

func (l *versionLog) isCurrent(rise versionRise) bool {
	r := l.records[rise.id]
	return r != nil && r.sequence == rise.sequence
}

// since returns at most versionsPerMessage rises after the sequence number that
// the peer did not report itself, and the number to pass next time.
func (l *versionLog) since(sequence uint64, peer string, now time.Time) ([]*rpc.InstanceVersion, uint64) {
	var items []*rpc.InstanceVersion
	for _, rise := range l.order[l.search(sequence):] {
		if len(items) == versionsPerMessage {
			break
		}
		sequence = rise.sequence
		r := l.records[rise.id]
		if !l.isCurrent(rise) || r.from == peer || rise.id == peer {
			continue
		}
		items = append(items, &rpc.InstanceVersion{
			InstanceId:    rise.id,
			ConfigVersion: r.version,
			AgeMs:         milliseconds32(now.Sub(r.heardAt)),
		})
	}
	return items, sequence
}

// search returns the index of the first rise after the sequence number.
func (l *versionLog) search(sequence uint64) int {
	low, high := 0, len(l.order)
	for low < high {
		middle := (low + high) / 2
		if l.order[middle].sequence <= sequence {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}
