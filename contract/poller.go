package contract

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/pause"
)

// DefaultPollInterval is the mean time between polls. Polling is the fallback
// for configurations that no peer has sent. Its longest interval of 5.25 s keeps
// a change within 6 s everywhere even if the entry that accepted it dies before
// it told a peer; 330 entries cost the platform 94 of its 2,000 reads per second.
const DefaultPollInterval = 3500 * time.Millisecond

// PollerConfig configures a poller.
type PollerConfig struct {
	Interval time.Duration  // mean; 0 means DefaultPollInterval
	Timeout  time.Duration  // of one poll; 0 means the interval
	Log      zerolog.Logger // the zero value writes nothing
}

// Poller loads accepted configurations from the store into a holder.
type Poller struct {
	store  *Store
	holder *Holder
	config PollerConfig
}

// NewPoller returns a poller; Run starts it.
func NewPoller(store *Store, holder *Holder, config PollerConfig) *Poller {
	if config.Interval <= 0 {
		config.Interval = DefaultPollInterval
	}
	if config.Timeout <= 0 {
		config.Timeout = config.Interval
	}
	return &Poller{store: store, holder: holder, config: config}
}

// Run polls at once and then at intervals until the context ends. Each interval
// is uniform between half and one and a half of the mean, so that entries which
// started together don't poll together.
func (p *Poller) Run(ctx context.Context) {
	for {
		if _, err := p.Poll(ctx); err != nil && ctx.Err() == nil {
			p.config.Log.Warn().Err(err).Uint64("version", p.holder.Version()).Msg("configuration poll failed")
		}
		if !pause.For(ctx, jitter(p.config.Interval)) {
			return
		}
	}
}

// Poll loads the configuration once and reports whether a newer one came into
// force in the holder. An unchanged version costs one row read.
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
