package link

import (
	"context"
	"time"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// parts adds what one role sends. due is set when the message must go now;
// else recheck is the time after which to ask again, 0 for none.
type parts func(msg *rpc.ControlMessage, now time.Time, heartbeat bool) (due bool, recheck time.Duration)

// sendLoop sends a first message, then one whenever something changed, and a
// heartbeat after reportMax without one. It returns when ctx ends or a send fails.
func (p *peer) sendLoop(ctx context.Context, add parts, send func(*rpc.ControlMessage) error) error {
	changes, stop := p.spread.bodies.holder.Watch()
	defer stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var sent time.Time
	for {
		suspects := p.spread.suspects.NextChange()
		now := time.Now()
		heartbeat := now.Sub(sent) >= reportMax
		msg, urgent := p.compose(now)
		due, recheck := add(msg, now, heartbeat)
		if urgent || due || heartbeat {
			p.finish(msg, now)
			if err := send(msg); err != nil {
				return err
			}
			sent = now
		}
		timer.Reset(nextCheck(now, sent, recheck))
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timer.C:
		case <-p.wake:
		case <-changes:
		case <-suspects:
		}
	}
}

// nextCheck is the wait until the heartbeat or the role's own check.
func nextCheck(now, sent time.Time, recheck time.Duration) time.Duration {
	wait := sent.Add(reportMax).Sub(now)
	if recheck > 0 {
		wait = min(wait, recheck)
	}
	return max(wait, 0)
}
