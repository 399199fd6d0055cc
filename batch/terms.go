package batch

import (
	"time"

	"github.com/magnoliausher/magnoliausher/fleet"
)

// terms are a configuration as it applies to a job. It is at least as new as every one under
// which the job was accepted or run: results are final, and an older configuration may lack
// the job's route or have other limits.
type terms struct {
	job           *runningJob
	configuration *fleet.Configuration
}

// newTerms returns the terms of a job in a configuration, which may be nil. They are not
// ok if the configuration is older than the job requires.
func newTerms(r *runningJob, c *fleet.Configuration) (t terms, ok bool) {
	if c == nil || c.Version < r.configuration {
		return terms{}, false
	}
	return terms{r, c}, true
}

// termsOf returns the terms of a job in the configuration in force. Until they are ok, no
// item of the job starts or is abandoned. The caller holds s.mu.
func (s *Service) termsOf(r *runningJob) (t terms, ok bool) {
	c := s.cfg.Holder.View().Configuration
	t, ok = newTerms(r, c)
	if ok {
		r.configuration = c.Version
	}
	if r.awaitsConfiguration == ok {
		r.awaitsConfiguration = !ok
		var version uint64
		if c != nil {
			version = c.Version
		}
		s.cfg.Log.Info().Str("job", r.submission.ID).Uint64("configuration", version).Uint64("job_configuration", r.configuration).
			Bool("waits", !ok).Msg("job needs a newer configuration")
	}
	return t, ok
}

// route returns the route of an item, nil if there is none any more.
func (t terms) route(ri *runningItem) *fleet.Route {
	return t.configuration.Match(t.job.submission.Host, t.job.submission.Items[ri.index].Target)
}

// exhausted reports whether an item has failed as often as its route permits.
func (t terms) exhausted(ri *runningItem) bool {
	route := t.route(ri)
	return route != nil && ri.failures >= route.MaxAttempts
}

// Reasons for abandoning an item without an attempt.
const (
	abandonRouteRemoved = "route_removed"
	abandonRetention    = "retention"
)

// clockSkewAllowance is added to the retention, since the clock of the gateway that
// accepted the job may differ from the local clock by seconds.
const clockSkewAllowance = 10 * time.Second

// abandonReason returns the reason for abandoning an item of a job, or "" if it is to run.
// route is that of the item, nil for none.
func abandonReason(route *fleet.Route, job *Job, now time.Time) string {
	switch {
	case route == nil:
		return abandonRouteRemoved
	case route.Retention > 0 && jobAge(job, now) > route.Retention+clockSkewAllowance:
		return abandonRetention
	}
	return ""
}
