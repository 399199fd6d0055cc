package replay

import (
	"time"

	"github.com/magnoliausher/magnoliausher/job"
	"github.com/magnoliausher/magnoliausher/workload"
)

type jobState int

const (
	jobRunning jobState = iota
	jobDone
	jobCancelled
)

// jobRow is a job and its chunk rows as the platform holds them.
type jobRow struct {
	id      string
	in      *workload.Job
	state   jobState
	created time.Duration
	chunks  []chunkRow
	left    int // chunks that are not done
	failing []bool
	commits []int // of each item
}

// chunkRow is the row of a chunk. Its version is the fencing token.
type chunkRow struct {
	version uint64
	holder  string // "" when free
	claim   uint64 // unique per claim
	done    bool
}

// submit accepts a job. An entry gets to know it after a read of the index,
// the entry that accepted it at once.
func (w *world) submit(id string, in *workload.Job) {
	j := &jobRow{id: id, in: in, created: w.now, failing: failingItems(in), commits: make([]int, in.Items)}
	j.chunks = make([]chunkRow, (in.Items+job.ChunkItems-1)/job.ChunkItems)
	j.left = len(j.chunks)
	w.jobs = append(w.jobs, j)
	w.stats.batchItems += in.Items
	if w.cfg.Policy == OnlineOnly {
		return
	}
	w.open++
	w.stats.jobOpened(w.now)
	first := w.pickEntry()
	for _, e := range w.entries {
		wait := time.Duration(0)
		if e != first {
			wait = time.Duration(w.random.Int64N(int64(indexInterval)))
		}
		w.after(wait, func() { e.batch.learn(j) })
	}
}

// failingItems spreads the failing items evenly.
func failingItems(in *workload.Job) []bool {
	list := make([]bool, in.Items)
	for i := range in.FailingItems {
		list[i*in.Items/in.FailingItems] = true
	}
	return list
}

// cancelJob sets the row's state, which fails every later commit, and tells all
// processes.
func (w *world) cancelJob(j *jobRow) {
	always := func() bool { return true }
	apply := func() bool {
		if j.state != jobRunning {
			return false
		}
		w.endJob(j, jobCancelled)
		return true
	}
	cancelled := func() bool { return j.state == jobCancelled }
	w.platform.write(0, always, apply, cancelled, func(ok bool) {
		if !ok {
			return
		}
		w.after(oneWay, func() {
			for _, e := range w.entries {
				e.batch.dropJob(j)
			}
			for _, a := range w.agents {
				if !a.lost {
					a.cancelJob(j)
				}
			}
		})
	})
}

func (w *world) endJob(j *jobRow, s jobState) {
	j.state = s
	if w.cfg.Policy == OnlineOnly {
		return
	}
	w.open--
	w.progress = w.now
	w.stats.jobEnded(w.now)
}

// commit makes the results of a chunk visible if the claim still holds.
func (w *world) commit(h *held) bool {
	j := h.job
	row := &j.chunks[h.chunk]
	if j.state != jobRunning || row.done || row.claim != h.claim || row.version != h.version {
		return false
	}
	row.done = true
	row.version++
	row.holder = ""
	for _, it := range h.items {
		j.commits[it.index]++
		if it.isFailed {
			w.stats.batchFailed++
		}
	}
	w.stats.committed(w.now, len(h.items))
	w.progress = w.now
	j.left--
	if j.left == 0 {
		w.endJob(j, jobDone)
	}
	return true
}

// deadline orders jobs. The replay lets a job run on after its due time, so that
// all work ends; it then stays due just now.
func (j *jobRow) deadline(w *world) time.Time {
	due := j.created + j.in.Due
	if j.in.Due == 0 {
		due = j.created + job.MaxCompletionWindow
	}
	return epoch.Add(max(due, w.now+time.Millisecond))
}
