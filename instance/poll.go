package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/storage"
)

// PollInterval is the mean time between reads of the platform's instance list.
// An upstream must not get new work later than 3 s after the list shows it as
// leaving, even if one read fails or gets no response. 330 entries make 220 reads
// per second; the platform sustains about 2,000.
const PollInterval = 1500 * time.Millisecond

// retryInterval is the mean time between a failed read and its retry. After
// further consecutive failures PollInterval applies, so that an outage does not
// increase the read rate.
const retryInterval = 500 * time.Millisecond

// initialInterval is the mean time between reads until the list contains an
// agent, so that a new instance does not wait a full PollInterval for its first
// links.
const initialInterval = 500 * time.Millisecond

// pollTimeout limits the duration of a read after one that failed, so that a slow
// platform delays at most one poll.
const pollTimeout = 4 * time.Second

// firstPollTimeout limits the duration of other reads. One that gets no response, for
// instance on a dead connection, must not use up the 3 s of PollInterval.
const firstPollTimeout = 700 * time.Millisecond

// Poll reads the platform's instance list periodically until ctx ends. When a read
// fails, the table keeps the last list.
func (t *Table) Poll(ctx context.Context, list storage.InstanceList, logger zerolog.Logger) error {
	failures := 0
	for {
		timeout := pollTimeout
		if failures == 0 {
			timeout = firstPollTimeout
		}
		started := time.Now()
		if err := t.Refresh(ctx, list, timeout); err == nil {
			failures = 0
		} else if ctx.Err() == nil {
			failures++
			logger.Warn().Err(err).Msg("failed to read the instance list")
		}
		if failures == 1 && time.Since(started) >= retryInterval {
			continue
		}
		timer := time.NewTimer(jitter(t.pollInterval(failures)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

func (t *Table) pollInterval(failures int) time.Duration {
	if failures == 1 {
		return retryInterval
	}
	if len(t.Members(storage.RoleAgent, time.Now())) == 0 {
		return initialInterval
	}
	return PollInterval
}

// Refresh reads the platform's instance list once and applies it.
func (t *Table) Refresh(ctx context.Context, list storage.InstanceList, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	instances, revision, err := list.Instances(ctx, t.Revision())
	if err != nil {
		return err
	}
	t.ApplyList(instances, revision, time.Now())
	return nil
}

// jitter returns a duration drawn uniformly from 0.8 d to 1.2 d.
func jitter(d time.Duration) time.Duration {
	spread := int64(d) * 2 / 5
	return d - time.Duration(spread/2) + time.Duration(rand.Int64N(spread+1))
}
