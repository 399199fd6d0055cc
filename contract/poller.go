package contract

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/pause"
)

// DefaultPollInterval is the mean time between polls. Polling is the fallback
// for configurations that were not received from a peer. The longest interval of
// 5.25 s ensures that a change is in force everywhere within 6 s, even if the
// entry that accepted it crashes before it notifies a peer. The polls of 330
// entries use 94 of the platform's 2,000 reads per second.
const DefaultPollInterval = 3500 * time.Millisecond

// PollerConfig configures a poller.
type PollerConfig struct {
	Interval time.Duration  // mean; 0 means DefaultPollInterval
	Timeout  time.Duration  // of one poll; 0 means the interval
	Log      zerolog.Logger // the zero value discards all messages
}

// Poller polls the store and passes new configurations to a holder.
type Poller struct {
	store  *Store
	holder *Holder
	config PollerConfig
}

// NewPoller returns a poller; call Run to start polling.
func NewPoller(store *Store, holder *Holder, config PollerConfig) *Poller {
	if config.Interval <= 0 {
		config.Interval = DefaultPollInterval
	}
	if config.Timeout <= 0 {
		config.Timeout = config.Interval
	}
	return &Poller{store: store, holder: holder, config: config}
}

// Run polls immediately and then at intervals until the context ends. Each
// interval is drawn uniformly from 0.5 to 1.5 times the mean, so that entries
// that started at the same time don't poll in step.
func (p *Poller) Run(ctx context.Context) {
	for {
		if _, err := p.Poll(ctx); err != nil && ctx.Err() == nil {
			p.config.Log.Warn().Err(err).Uint64("version", p.holder.Version()).Msg("failed to poll the configuration")
		}
		if !pause.For(ctx, jitter(p.config.Interval)) {
			return
		}
	}
}

// Poll loads the configuration once and reports whether the holder was updated
// to a newer one. If the version is unchanged, Poll reads one row only.
func (p *Poller) Poll(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.Timeout)
	defer cancel()
	doc, err := p.store.LoadNewer(ctx, p.holder.Version())
	if err != nil || doc == nil {
		return false, err
	}
	return p.holder.SetIfNewer(doc), nil
}

func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}
