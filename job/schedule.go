package job

import (
	"hash/fnv"
	"time"
)

// JobView is what an entry knows of a running job when it schedules.
type JobView struct {
	ID           string
	Organisation string
	Service      string
	Created      time.Time
	Deadline     time.Time
	Held         int  // unfinished items of the job that this entry holds
	Exhausted    bool // no free chunk was found lately
}

// ServiceView is the batch work of one service in this entry's memory.
type ServiceView struct {
	Ready     int // items that can start
	Running   int
	Reachable bool // an agent of the service is linked and not leaving
}

// Snapshot is the input of NextJob.
type Snapshot struct {
	Jobs     []JobView
	Services map[string]ServiceView
}

// readyReserve is the number of ready items that a service keeps beyond as many
// as are running, so that a grant finds its next item in memory.
const readyReserve = 50

// Bounds of the time before a deadline in which a job is urgent.
const (
	urgentShare = 10 // one tenth of the window
	urgentLeast = 15 * time.Minute
)

// Urgent is the rule for jobs near their deadline: in the last tenth of its
// window, and at least in the last 15 minutes, a job precedes the fair shares of
// organisations. It changes only the order among batch jobs; agents admit online
// requests first whatever the batch work's urgency is.
func Urgent(created, deadline, now time.Time) bool {
	lead := max(urgentLeast, deadline.Sub(created)/urgentShare)
	return !now.Before(deadline.Add(-lead))
}

// NeedsChunk reports whether a service should get another chunk. An entry
// without a reachable agent leaves the work to other entries.
func NeedsChunk(v ServiceView) bool {
	return v.Reachable && v.Ready < readyReserve+v.Running
}

// NextJob chooses the job whose chunk the entry claims next, or -1. Urgent jobs come
// first by deadline; then the organisation with the fewest unfinished items held
// here, and within it the earliest deadline. Any job with work is chosen when no
// other is, so the order is work-conserving.
func NextJob(s Snapshot, now time.Time) int {
	held := make(map[string]int)
	for i := range s.Jobs {
		held[s.Jobs[i].Organisation] += s.Jobs[i].Held
	}
	best := -1
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if j.Exhausted || !now.Before(j.Deadline) || !NeedsChunk(s.Services[j.Service]) {
			continue
		}
		if best < 0 || before(j, &s.Jobs[best], held, now) {
			best = i
		}
	}
	return best
}

func before(a, b *JobView, held map[string]int, now time.Time) bool {
	return precedes(
		candidate{a.ID, a.Organisation, a.Created, a.Deadline},
		candidate{b.ID, b.Organisation, b.Created, b.Deadline}, held, now)
}

// candidate is what the order of chunks to claim and of items to start depends on.
type candidate struct {
	id           string
	organisation string
	created      time.Time
	deadline     time.Time
}

// precedes orders candidates: urgent ones by deadline, then the organisation
// that uses least, then the earliest deadline.
func precedes(a, b candidate, used map[string]int, now time.Time) bool {
	ua, ub := Urgent(a.created, a.deadline, now), Urgent(b.created, b.deadline, now)
	if ua != ub {
		return ua
	}
	na, nb := used[a.organisation], used[b.organisation]
	if !ua && na != nb {
		return na < nb
	}
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.id < b.id
}

// ChunkView is a held chunk when an entry starts an item.
type ChunkView struct {
	Key          string
	Organisation string
	Created      time.Time // of the job
	Deadline     time.Time
	Ready        int // items that can start
	Running      int
}

// NextItem chooses the chunk of one service whose item starts next, or -1. The
// order is that of NextJob with running items in place of unfinished ones: by deadline
// alone, an organisation with early deadlines would keep others' chunks waiting.
func NextItem(chunks []ChunkView, now time.Time) int {
	running := make(map[string]int)
	for i := range chunks {
		running[chunks[i].Organisation] += chunks[i].Running
	}
	best := -1
	var first candidate
	for i := range chunks {
		c := &chunks[i]
		next := candidate{c.Key, c.Organisation, c.Created, c.Deadline}
		if c.Ready == 0 || !now.Before(c.Deadline) {
			continue
		}
		if best < 0 || precedes(next, first, running, now) {
			best, first = i, next
		}
	}
	return best
}

// ScanStart is the chunk at which an entry begins to look for a free one. Entries
// are spread evenly over the chunks, so that two rarely meet.
func ScanStart(job string, chunks, rank, entries int) int {
	if chunks <= 0 || entries <= 0 {
		return 0
	}
	offset := int(hashOf(job) % uint32(chunks))
	return (offset + rank%entries*chunks/entries) % chunks
}

// watchersPerJob is the number of entries that look after a job whose chunks
// are all claimed or done: they take expired claims over, complete the job and
// expire it.
const watchersPerJob = 3

// IsWatcher reports whether the entry is one of the job's watchers.
func IsWatcher(job string, rank, entries int) bool {
	if entries <= watchersPerJob {
		return true
	}
	first := int(hashOf(job) % uint32(entries))
	return (rank-first+entries)%entries < watchersPerJob
}

func hashOf(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	return h.Sum32()
}
