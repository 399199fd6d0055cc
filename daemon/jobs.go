package daemon

import (
	"time"

	"github.com/magnoliausher/magnoliausher/job"
	"github.com/magnoliausher/magnoliausher/poison"
	"github.com/magnoliausher/magnoliausher/storage"
)

// newJobs makes the batch runner and returns the batch API.
func (d *Entry) newJobs(suspects *poison.Table) *job.API {
	d.runner = job.NewRunner(job.RunnerConfig{
		Platform:    d.platform,
		Links:       d.links,
		Port:        d.links,
		Contract:    d.holder,
		Suspects:    suspects,
		InstanceID:  d.settings.Instance.ID,
		Rank:        d.rank,
		MemoryBytes: d.settings.BatchBytes,
		Log:         d.logger,
	})
	store := job.NewStore(d.platform)
	d.sweeper = &job.Sweeper{Store: store, Rank: d.rank, Log: d.logger}
	return &job.API{Store: store, Contract: d.holder, Announce: d.links.AnnounceCancelled,
		Accepted: d.runner.LookForJobs, Log: d.logger}
}

// rank is this entry's position among all entries by id. An entry that the
// list does not show yet counts as the last one.
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
