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

// jobRow is a job and its chunk rows in the platform's table.
type jobRow struct {
	id           string
	spec         *workload.Job
	state        jobState
	created      time.Duration
	chunks       []chunkRow
	chunksLeft   int // chunks without committed results
	failing      []bool
	commitCounts []int // by item
}

// chunkRow is the row of a chunk. Its version is the fencing token.
type chunkRow struct {
	version uint64
	holder  string // "" when free
	claimID uint64 // unique per claim
	done    bool
}

// submitJob accepts a job. The accepting entry knows the job at once, the others
// find it at their next read of the job index.
func (sim *simulation) submitJob(id string, spec *workload.Job) {
	j := &jobRow{id: id, spec: spec, created: sim.now, failing: failingItems(spec), commitCounts: make([]int, spec.Items)}
	j.chunks = make([]chunkRow, (spec.Items+job.ChunkItems-1)/job.ChunkItems)
	j.chunksLeft = len(j.chunks)
	sim.jobs = append(sim.jobs, j)
	sim.stats.batchItems += spec.Items
	if sim.cfg.Policy == PolicyOnlineOnly {
		return
	}
	sim.openWork++
	sim.stats.jobOpened(sim.now)
	first := sim.pickEntry()
	for _, e := range sim.entries {
		wait := time.Duration(0)
		if e != first {
			wait = time.Duration(sim.random.Int64N(int64(indexInterval)))
		}
		sim.scheduleAfter(wait, func() { e.runner.addJob(j) })
	}
}

// failingItems marks the items that fail, spread evenly over the job.
func failingItems(spec *workload.Job) []bool {
	list := make([]bool, spec.Items)
	for i := range spec.FailingItems {
		list[i*spec.Items/spec.FailingItems] = true
	}
	return list
}

// cancelJob sets the state of the job's row, after which every commit fails, and
// notifies all entries and agents.
func (sim *simulation) cancelJob(j *jobRow) {
	always := func() bool { return true }
	apply := func() bool {
		if j.state != jobRunning {
			return false
		}
		sim.endJob(j, jobCancelled)
		return true
	}
	tookEffect := func() bool { return j.state == jobCancelled }
	sim.platform.write(0, always, apply, tookEffect, func(ok bool) {
		if !ok {
			return
		}
		sim.scheduleAfter(linkDelay, func() {
			for _, e := range sim.entries {
				e.runner.dropJob(j)
			}
			for _, a := range sim.agents {
				if !a.lost {
					a.cancelJob(j)
				}
			}
		})
	})
}

func (sim *simulation) endJob(j *jobRow, s jobState) {
	j.state = s
	if sim.cfg.Policy == PolicyOnlineOnly {
		return
	}
	sim.openWork--
	sim.lastProgress = sim.now
	sim.stats.jobEnded(sim.now)
}

// commitChunk publishes the results of a chunk if the claim is still valid.
func (sim *simulation) commitChunk(h *heldChunk) bool {
	j := h.job
	row := &j.chunks[h.index]
	if j.state != jobRunning || row.done || row.claimID != h.claimID || row.version != h.version {
		return false
	}
	row.done = true
	row.version++
	row.holder = ""
	for _, it := range h.items {
		j.commitCounts[it.index]++
		if it.failed {
			sim.stats.batchFailed++
		}
	}
	sim.stats.recordCommit(sim.now, len(h.items))
	sim.lastProgress = sim.now
	j.chunksLeft--
	if j.chunksLeft == 0 {
		sim.endJob(j, jobDone)
	}
	return true
}

// deadline returns the time by which jobs are ordered. The replay doesn't stop a job
// at its due time, so that all work ends; an overdue job counts as due now.
func (j *jobRow) deadline(sim *simulation) time.Time {
	due := j.created + j.spec.Due
	if j.spec.Due == 0 {
		due = j.created + job.MaxCompletionWindow
	}
	return epoch.Add(max(due, sim.now+time.Millisecond))
}
