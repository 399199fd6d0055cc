package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/storage"
)

// PollInterval is the mean time between reads of the platform's list. An
// upstream that the list shows as leaving may get nothing new after 3 s, and one
// read within this time may fail. 330 entries make 220 reads per second, of
// about 2,000 that the platform sustains.
const PollInterval = 1500 * time.Millisecond

// retryInterval is the mean time to the next read after a failed one. Further
// failures wait PollInterval, so that an outage does not raise the rate.
const retryInterval = 500 * time.Millisecond

// startInterval is the mean time between reads until the list shows an agent,
// so that a new instance does not wait a whole PollInterval for its first links.
const startInterval = 500 * time.Millisecond

// pollTimeout bounds one read, so that a slow platform delays at most one poll.
const pollTimeout = 4 * time.Second

// Poll reads the platform's list until ctx ends. A failed read keeps the last list.
func (t *Table) Poll(ctx context.Context, list storage.InstanceList, logger zerolog.Logger) error {
	failures := 0
	for {
		if err := t.Refresh(ctx, list); err == nil {
			failures = 0
		} else if ctx.Err() == nil {
			failures++
			logger.Warn().Err(err).Msg("reading the instance list failed")
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
		return startInterval
	}
	return PollInterval
}

// Refresh reads the platform's list once.
func (t *Table) Refresh(ctx context.Context, list storage.InstanceList) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	instances, revision, err := list.Instances(ctx, t.Revision())
	if err != nil {
		return err
	}
	t.ApplyList(instances, revision, time.Now())
	return nil
}

// jitter spreads d evenly over 0.8 d to 1.2 d.
func jitter(d time.Duration) time.Duration {
	spread := int64(d) * 2 / 5
	return d - time.Duration(spread/2) + time.Duration(rand.Int64N(spread+1))
}
