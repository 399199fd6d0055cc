package link

import (
	"context"
	"time"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// roleFieldsFunc adds the fields that only an entry or only an agent sends.
// due means that the message must be sent now; otherwise recheck is the delay
// after which to call the function again, 0 for none.
type roleFieldsFunc func(msg *rpc.ControlMessage, now time.Time, heartbeat bool) (due bool, recheck time.Duration)

// sendLoop sends a first message, then one on every change, and a heartbeat
// after heartbeatInterval without a message. It returns when ctx ends or a
// send fails.
func (p *peer) sendLoop(ctx context.Context, addRoleFields roleFieldsFunc, send func(*rpc.ControlMessage) error) error {
	changes, stop := p.gossip.codec.holder.Watch()
	defer stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var sent time.Time
	for {
		suspects := p.gossip.suspects.NextChange()
		now := time.Now()
		heartbeat := now.Sub(sent) >= heartbeatInterval
		msg, urgent := p.compose(now)
		due, recheck := addRoleFields(msg, now, heartbeat)
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

// nextCheck returns the time until the next heartbeat or recheck, whichever is
// earlier.
func nextCheck(now, sent time.Time, recheck time.Duration) time.Duration {
	wait := sent.Add(heartbeatInterval).Sub(now)
	if recheck > 0 {
		wait = min(wait, recheck)
	}
	return max(wait, 0)
}
