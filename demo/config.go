package demo

import (
	"context"
	"time"

	"github.com/magnoliausher/magnoliausher/operator"
	"github.com/magnoliausher/magnoliausher/operator/client"
)

const (
	// configBound is the guaranteed time until an accepted change is in force everywhere.
	configBound = 6 * time.Second
	// configWait ends the wait for a change that misses the bound.
	configWait = 2 * configBound
	// changeAt lies between the burst and the crash.
	changeAt = 4 * time.Second
	// deadlineStep is added to a service's deadline by the change.
	deadlineStep = 1000 // ms
)

// changeConfig makes a small change on one entry during the online load and
// returns the time until all entries and agents had it, 0 when they did not.
func (d *run) changeConfig(ctx context.Context, address string) time.Duration {
	select {
	case <-ctx.Done():
		return 0
	case <-time.After(changeAt):
	}
	took, err := d.spreadChange(ctx, &client.Client{BaseURL: "http://" + address, Key: d.key})
	if err != nil {
		d.say("failure: configuration change: %v", err)
		return 0
	}
	return took
}

func (d *run) spreadChange(ctx context.Context, c *client.Client) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, configWait)
	defer cancel()
	doc, err := c.Document(ctx)
	if err != nil {
		return 0, err
	}
	service := *d.engineService
	service.DeadlineMS += deadlineStep
	change := operator.Change{Base: doc.Version}
	change.Put.Services = append(change.Put.Services, service)
	sent := time.Now()
	inForce := make(chan error, 1)
	var took time.Duration
	go func() {
		err := d.fleet.WaitVersion(ctx, doc.Version+1)
		took = time.Since(sent)
		inForce <- err
	}()
	answer, err := c.Change(ctx, change, "")
	if err != nil {
		return 0, err
	}
	if err := <-inForce; err != nil {
		return 0, err
	}
	d.say("version %d in force on all %d instances after %.0f ms; %d had confirmed it when it was acknowledged",
		answer.Version, len(d.fleet.Entries)+len(d.fleet.Agents), float64(took.Microseconds())/1000, answer.ConfirmedBy)
	return took, nil
}
