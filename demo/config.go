package demo

import (
	"context"
	"time"

	"github.com/magnoliausher/magnoliausher/operator"
	"github.com/magnoliausher/magnoliausher/operator/client"
)

const (
	// maxRolloutTime is the guaranteed limit on the time until an accepted change is
	// active on all instances.
	maxRolloutTime = 6 * time.Second
	// rolloutTimeout ends the wait for a change that exceeds maxRolloutTime.
	rolloutTimeout = 2 * maxRolloutTime
	// configChangeDelay lies between burstDelay and crashDelay.
	configChangeDelay = 4 * time.Second
	// deadlineIncrementMS is added to a service's deadline by the change.
	deadlineIncrementMS = 1000
)

// changeConfig makes a small change on one entry during the online load and
// returns the time until all entries and agents had it, or 0 if they did not get
// it.
func (d *demoRun) changeConfig(ctx context.Context, address string) time.Duration {
	select {
	case <-ctx.Done():
		return 0
	case <-time.After(configChangeDelay):
	}
	elapsed, err := d.measureRollout(ctx, &client.Client{BaseURL: "http://" + address, Key: d.key})
	if err != nil {
		d.logf("failure: configuration change: %v", err)
		return 0
	}
	return elapsed
}

func (d *demoRun) measureRollout(ctx context.Context, c *client.Client) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	doc, err := c.Document(ctx)
	if err != nil {
		return 0, err
	}
	service := *d.engineService
	service.DeadlineMS += deadlineIncrementMS
	change := operator.Change{Base: doc.Version}
	change.Put.Services = append(change.Put.Services, service)
	sentAt := time.Now()
	rolledOut := make(chan error, 1)
	var elapsed time.Duration
	go func() {
		err := d.fleet.WaitVersion(ctx, doc.Version+1)
		elapsed = time.Since(sentAt)
		rolledOut <- err
	}()
	response, err := c.Change(ctx, change, "")
	if err != nil {
		return 0, err
	}
	if err := <-rolledOut; err != nil {
		return 0, err
	}
	d.logf("version %d active on all %d instances after %.0f ms; %d had confirmed it when it was acknowledged",
		response.Version, len(d.fleet.Entries)+len(d.fleet.Agents), float64(elapsed.Microseconds())/1000, response.ConfirmedBy)
	return elapsed, nil
}
