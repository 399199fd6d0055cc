package link

import (
	"time"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// Limits on the announcements of cancelled jobs. The announcements only speed
// up what job owners also learn by reading the rows of their jobs every 2 s.
const (
	// cancelledRetention is how long an id is kept, so that it is not
	// forwarded again when it arrives over another path.
	cancelledRetention = 10 * time.Minute
	// cancelledForwardPeriod is how long after its arrival an id is still sent
	// to newly opened links. It is far shorter than cancelledRetention, so an
	// id cannot circulate after an instance has dropped it.
	cancelledForwardPeriod = 30 * time.Second
	maxCancelledJobs       = 2048
)

// cancelledJob is one announcement of a cancelled job.
type cancelledJob struct {
	id       string
	sequence uint64 // order of arrival, from 1
	addedAt  time.Time
	from     string // peer that announced it; empty for this process
}

// cancelledJobs is a bounded set of announcements in order of arrival.
type cancelledJobs struct {
	known    map[string]struct{}
	order    []cancelledJob
	sequence uint64
}

func newCancelledJobs() *cancelledJobs {
	return &cancelledJobs{known: make(map[string]struct{})}
}

// add adds an id and reports whether it is new.
func (c *cancelledJobs) add(id, from string, now time.Time) bool {
	c.expire(now)
	if _, ok := c.known[id]; ok || id == "" {
		return false
	}
	if len(c.order) >= maxCancelledJobs {
		c.dropOldest(1)
	}
	c.sequence++
	c.known[id] = struct{}{}
	c.order = append(c.order, cancelledJob{id: id, sequence: c.sequence, addedAt: now, from: from})
	return true
}

func (c *cancelledJobs) expire(now time.Time) {
	n := 0
	for n < len(c.order) && now.Sub(c.order[n].addedAt) >= cancelledRetention {
		n++
	}
	c.dropOldest(n)
}

func (c *cancelledJobs) dropOldest(n int) {
	for _, job := range c.order[:n] {
		delete(c.known, job.id)
	}
	c.order = c.order[n:]
}

// since returns the ids to forward to a peer, those that arrived after the
// sequence number, and the sequence number for the next call.
func (c *cancelledJobs) since(sequence uint64, peer string, now time.Time) ([]string, uint64) {
	var ids []string
	for i := len(c.order) - 1; i >= 0; i-- {
		job := &c.order[i]
		if job.sequence <= sequence || now.Sub(job.addedAt) >= cancelledForwardPeriod {
			break
		}
		if job.from == "" || job.from != peer {
			ids = append(ids, job.id)
		}
	}
	return ids, c.sequence
}

// Limits on the versions of other instances.
const (
	// maxVersionRecords limits the size of the table; the target size has
	// 3,030 instances.
	maxVersionRecords = 4096
	// versionsPerMessage and versionsInterval limit the cost per direction of
	// a link to one item of about 35 bytes every 4 s. One item in every
	// message would take 40 of the 93 bytes/s that each of 96 links may use.
	versionsPerMessage = 1
	versionsInterval   = 2 * heartbeatInterval
)

// versionRecord is the last known version of one instance.
type versionRecord struct {
	version  uint64
	heardAt  time.Time
	sequence uint64 // of the last increase
	from     string // peer that reported the increase
}

// versionLog holds the last known version of each instance and the order in
// which they increased.
type versionLog struct {
	records  map[string]*versionRecord // by instance id
	order    []versionIncrease         // ascending sequence; superseded increases are skipped
	sequence uint64
}

type versionIncrease struct {
	id       string
	sequence uint64
}

func newVersionLog() *versionLog {
	return &versionLog{records: make(map[string]*versionRecord)}
}

// record stores a version of an instance that a peer reported. Lower versions
// are ignored.
func (l *versionLog) record(id string, version uint64, heardAt time.Time, from string) {
	if id == "" {
		return
	}
	r := l.records[id]
	if r == nil {
		if len(l.records) >= maxVersionRecords {
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
	l.order = append(l.order, versionIncrease{id: id, sequence: l.sequence})
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

// compact removes superseded increases.
func (l *versionLog) compact() {
	kept := l.order[:0]
	for _, increase := range l.order {
		if l.isCurrent(increase) {
			kept = append(kept, increase)
		}
	}
	l.order = kept
}

func (l *versionLog) isCurrent(increase versionIncrease) bool {
	r := l.records[increase.id]
	return r != nil && r.sequence == increase.sequence
}

// since returns at most versionsPerMessage increases after the sequence number
// that the peer did not report itself, and the sequence number for the next
// call.
func (l *versionLog) since(sequence uint64, peer string, now time.Time) ([]*rpc.InstanceVersion, uint64) {
	var items []*rpc.InstanceVersion
	for _, increase := range l.order[l.indexAfter(sequence):] {
		if len(items) == versionsPerMessage {
			break
		}
		sequence = increase.sequence
		r := l.records[increase.id]
		if !l.isCurrent(increase) || r.from == peer || increase.id == peer {
			continue
		}
		items = append(items, &rpc.InstanceVersion{
			InstanceId:    increase.id,
			ConfigVersion: r.version,
			AgeMs:         milliseconds32(now.Sub(r.heardAt)),
		})
	}
	return items, sequence
}

// indexAfter returns the index of the first increase after the sequence
// number.
func (l *versionLog) indexAfter(sequence uint64) int {
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
