package daemon

import (
	"time"

	"github.com/magnoliausher/magnoliausher/job"
	"github.com/magnoliausher/magnoliausher/memory"
	"github.com/magnoliausher/magnoliausher/storage"
)

// newBatchAPI creates the batch runner and the sweeper and returns the batch API.
func (d *Entry) newBatchAPI() *job.API {
	d.runner = job.NewRunner(job.RunnerConfig{
		Platform:    d.platform,
		Links:       d.links,
		Port:        d.links,
		Contract:    d.holder,
		InstanceID:  d.settings.Instance.ID,
		Rank:        d.rank,
		MemoryBytes: d.settings.MaxBatchBytes,
		Answers:     memory.NewBudget(defaultAnswerMemory),
		Log:         d.logger,
	})
	store := job.NewStore(d.platform)
	d.sweeper = &job.Sweeper{Store: store, Rank: d.rank, Log: d.logger}
	return &job.API{Store: store, Contract: d.holder, AnnounceCancelled: d.links.AnnounceCancelled,
		OnAccepted: d.runner.RefreshIndex, Log: d.logger}
}

// rank returns this entry's position among all entries, ordered by id. An entry
// that is not listed yet ranks last.
func (d *Entry) rank() (rank, entries int) {
	members := d.members.Members(storage.RoleEntry, time.Now())
	listed := false
	for _, m := range members {
		switch {
		case m.ID == d.settings.Instance.ID:
			listed = true
		case m.ID < d.settings.Instance.ID:
			rank++
		}
	}
	if listed {
		return rank, len(members)
	}
	return len(members), len(members) + 1
}
