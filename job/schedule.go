package job

import (
	"hash/fnv"
	"time"
)

// JobView is the scheduler's view of a running job.
type JobView struct {
	ID           string
	Organisation string
	Service      string
	Created      time.Time
	Deadline     time.Time
	Held         int  // unfinished items of the job that this entry holds
	Exhausted    bool // no free chunk was found recently
}

// ServiceView is the scheduler's view of one service's items held by this entry.
type ServiceView struct {
	Ready     int // items that can start
	Running   int
	Reachable bool // an agent of the service is connected and not leaving
}

// Snapshot is the input of NextJob.
type Snapshot struct {
	Jobs     []JobView
	Services map[string]ServiceView
}

// readyReserveItems is the number of ready items that a service holds in addition
// to one per running item, so that a grant finds items in memory.
const readyReserveItems = 50

// Lead time before the deadline from which a job is urgent.
const (
	urgentWindowDivisor = 10 // lead time is a tenth of the window
	minUrgentLead       = 15 * time.Minute
)

// Urgent reports whether a job is near its deadline: in the last tenth of its
// window, and at least in the last 15 minutes. An urgent job takes precedence over
// fair sharing between organisations. This affects only the order among batch jobs;
// agents always admit online requests first.
func Urgent(created, deadline, now time.Time) bool {
	lead := max(minUrgentLead, deadline.Sub(created)/urgentWindowDivisor)
	return !now.Before(deadline.Add(-lead))
}

// NeedsChunk reports whether the entry should claim another chunk for a service.
// An entry without a reachable agent leaves the work to other entries.
func NeedsChunk(v ServiceView) bool {
	return v.Reachable && v.Ready < readyReserveItems+v.Running
}

// NextJob returns the index of the job to claim a chunk of next, or -1. Urgent jobs
// come first, by deadline; then the organisation with the fewest unfinished items
// held by this entry, and within it the earliest deadline. It returns -1 only if no
// job can be claimed, so the order is work-conserving.
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
		if best < 0 || jobPrecedes(j, &s.Jobs[best], held, now) {
			best = i
		}
	}
	return best
}

func jobPrecedes(a, b *JobView, held map[string]int, now time.Time) bool {
	return precedes(
		candidate{a.ID, a.Organisation, a.Created, a.Deadline},
		candidate{b.ID, b.Organisation, b.Created, b.Deadline}, held, now)
}

// candidate holds the sort keys for claiming chunks and starting items.
type candidate struct {
	id           string
	organisation string
	created      time.Time
	deadline     time.Time
}

// precedes reports whether a sorts before b: urgent candidates first, by deadline;
// then the organisation with the lowest usage, then the earliest deadline.
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

// ChunkView is the scheduler's view of a held chunk.
type ChunkView struct {
	Key          string
	Organisation string
	Created      time.Time // of the job
	Deadline     time.Time
	Ready        int // items that can start
	Running      int
}

// NextItem returns the index of the chunk of one service to start an item of next,
// or -1. The order is that of NextJob, but counts running instead of unfinished
// items. By deadline alone, an organisation with early deadlines would starve others.
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

// ScanStart returns the chunk at which an entry starts to scan for free chunks.
// Entries are spread evenly over the chunks, so that their claims rarely collide.
func ScanStart(job string, chunks, rank, entries int) int {
	if chunks <= 0 || entries <= 0 {
		return 0
	}
	offset := int(hashOf(job) % uint32(chunks))
	return (offset + rank%entries*chunks/entries) % chunks
}

// watchersPerJob is the number of entries that monitor a job whose chunks are all
// claimed or done: they take over expired claims and complete or expire the job.
const watchersPerJob = 3

// IsWatcher reports whether the entry with this rank is a watcher of the job.
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
