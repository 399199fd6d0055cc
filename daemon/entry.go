package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/entry"
	"github.com/magnoliausher/magnoliausher/idempotency"
	"github.com/magnoliausher/magnoliausher/instance"
	"github.com/magnoliausher/magnoliausher/job"
	"github.com/magnoliausher/magnoliausher/link"
	"github.com/magnoliausher/magnoliausher/operator"
	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/poison"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1/magnoliausherv1connect"
	"github.com/magnoliausher/magnoliausher/settings"
	"github.com/magnoliausher/magnoliausher/storage"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// Peers asked for the configuration at start, and the pause between rounds. A
// list of all instances is about 200 KB at the target size, so the pause grows
// once the process can serve.
const (
	configPeers      = 3
	configRetryPause = 500 * time.Millisecond
	configRetryMax   = time.Minute
)

// suspectsTimeout bounds the wait for the suspects at the start.
const suspectsTimeout = time.Second

// Entry is the process that callers and operators talk to.
type Entry struct {
	settings *settings.Entry
	logger   zerolog.Logger

	holder   *contract.Holder
	platform *storage.Limited
	members  *instance.Table
	links    *link.EntrySide
	entry    *entry.Entry
	intents  *idempotency.Store
	poller   *contract.Poller
	fetcher  link.Fetcher
	runner   *job.Runner
	sweeper  *job.Sweeper
	operator *operator.API
	suspects *poison.Persister

	server       *http.Server
	listener     net.Listener
	peerServer   *http.Server // nil without a peer address
	peerListener net.Listener
}

// NewEntry opens the entry's listeners; Run serves them.
func NewEntry(s *settings.Entry, logger zerolog.Logger) (*Entry, error) {
	config, err := s.TLS.Config()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	client, err := storage.NewClient(storage.ClientConfig{BaseURL: "http://" + s.Platform.Address, Timeout: s.Platform.Timeout})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	limited := storage.NewLimited(client, storage.LimitConfig{
		ReadsPerSecond:  float64(s.Platform.ReadsPerSecond),
		WritesPerSecond: float64(s.Platform.WritesPerSecond),
	})
	d := &Entry{
		settings: s,
		logger:   logger,
		holder:   &contract.Holder{},
		platform: limited,
		members:  instance.NewTable(instance.Config{}),
		intents:  idempotency.New(idempotency.Config{Table: limited, Objects: limited.Objects()}),
		fetcher:  link.Fetcher{TLS: config},
	}
	suspects := poison.NewTable(poison.Config{})
	store := contract.NewStore(limited)
	d.links = d.newLinks(config, suspects)
	d.poller = contract.NewPoller(store, d.holder, contract.PollerConfig{Log: logger})
	d.suspects = &poison.Persister{Table: suspects, Rows: limited, Rank: d.rank, Log: logger}
	jobs := d.newJobs(suspects)
	d.operator = operator.New(operator.Config{
		ID: s.Instance.ID, Store: store, Holder: d.holder, Fleet: d.links,
		PossiblyStale: func() bool { return time.Since(d.configHeard()) > entry.StaleAfter },
		Log:           logger,
	})
	d.entry = d.newEntry(jobs.Handler(), suspects)
	d.server = &http.Server{Handler: d.entry.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	return d, d.open()
}

func (d *Entry) newLinks(config *tls.Config, suspects *poison.Table) *link.EntrySide {
	return link.NewEntrySide(link.EntrySideConfig{
		ID:              d.settings.Instance.ID,
		DataCentre:      d.settings.Instance.DataCentre,
		Incarnation:     newIncarnation(),
		Holder:          d.holder,
		Suspects:        suspects,
		Members:         d.members,
		TLS:             config,
		Logger:          d.logger,
		LinksPerService: d.settings.LinksPerService,
	})
}

func (d *Entry) newEntry(jobs http.Handler, suspects *poison.Table) *entry.Entry {
	return entry.New(entry.Config{
		ID:             d.settings.Instance.ID,
		DataCentre:     d.settings.Instance.DataCentre,
		Runner:         d.links,
		Holder:         d.holder,
		Idempotency:    d.intents,
		Suspects:       entrySuspects{suspects},
		Jobs:           jobs,
		Operator:       d.operator.Handler(),
		Prompt:         promptOf,
		ConfigHeard:    d.configHeard,
		Logger:         d.logger,
		MaxBodyBytes:   d.settings.MaxBodyBytes,
		AcceptTimeout:  d.settings.AcceptTimeout,
		EngineProgress: d.settings.ProgressTimeout,
	})
}

// promptOf gives the prefix hash and the size of a request that the engines
// also see, so that routing finds the engine that has the prefix cached.
func promptOf(body []byte) (prefix uint64, tokens int) {
	p, err := upstream.ParsePrompt(body)
	if err != nil {
		return 0, 0
	}
	return p.Prefix, p.Tokens
}

// configHeard is the last time at which an agent confirmed the configuration.
func (d *Entry) configHeard() time.Time {
	var last time.Time
	ix := d.holder.Current()
	if ix == nil {
		return last
	}
	for i := range ix.Document.Services {
		for _, u := range d.links.Upstreams(ix.Document.Services[i].Name) {
			if u.LastHeard.After(last) {
				last = u.LastHeard
			}
		}
	}
	return last
}

func (d *Entry) open() error {
	var err error
	if d.listener, err = listen(d.settings.Instance.Listen); err != nil {
		return err
	}
	if d.settings.Instance.PeerListen == "" {
		return nil
	}
	if d.peerServer, err = link.NewServer(peerHandler(d.links), d.fetcher.TLS); err != nil {
		return trace.Wrap(err)
	}
	d.peerListener, err = listen(d.settings.Instance.PeerListen)
	return err
}

// peerHandler serves the configuration to other instances.
func peerHandler(links *link.EntrySide) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(magnoliausherv1connect.NewPeerHandler(links, link.HandlerOptions()...))
	return mux
}

// PeerAddress returns the IP address and port for peers, or "" without one.
func (d *Entry) PeerAddress() string {
	if d.peerListener == nil {
		return ""
	}
	return d.peerListener.Addr().String()
}

// Ready reports whether the entry has a configuration and a ready upstream of
// each of its services.
func (d *Entry) Ready() bool {
	ix := d.holder.Current()
	if ix == nil {
		return false
	}
	for i := range ix.Document.Services {
		if !d.hasReadyUpstream(ix.Document.Services[i].Name) {
			return false
		}
	}
	return true
}

func (d *Entry) hasReadyUpstream(service string) bool {
	for _, u := range d.links.Upstreams(service) {
		if u.Connected && u.Load.GetState() == rpc.UpstreamState_UPSTREAM_STATE_READY {
			return true
		}
	}
	return false
}

// ConfigVersion returns the version of the configuration in force here.
func (d *Entry) ConfigVersion() uint64 { return d.holder.Version() }

// Address returns the IP address and port for callers.
func (d *Entry) Address() string { return d.listener.Addr().String() }

// Run serves until ctx ends, then finishes the requests in progress.
func (d *Entry) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	d.loadSuspects(background)
	group, background := errgroup.WithContext(background)
	group.Go(func() error { d.suspects.Run(background); return nil })
	group.Go(func() error { return untilDone(background, d.members.Poll(background, d.platform, d.logger)) })
	group.Go(func() error { return untilDone(background, d.links.Serve(background)) })
	group.Go(func() error { d.poller.Run(background); return nil })
	group.Go(func() error { d.entry.Run(background); return nil })
	group.Go(func() error { d.fetchConfig(background); return nil })
	group.Go(func() error { return untilDone(background, d.runner.Run(background)) })
	group.Go(func() error { d.sweeper.Run(background); return nil })
	group.Go(func() error { d.operator.Run(background); return nil })
	group.Go(func() error { return serve(d.server, d.listener) })
	if d.peerServer != nil {
		group.Go(func() error { return serve(d.peerServer, d.peerListener) })
	}
	group.Go(func() error {
		select {
		case <-background.Done(): // another part failed
		case <-ctx.Done():
			d.drain()
		}
		d.shutdown()
		stop()
		return nil
	})
	d.logger.Info().Str("address", d.Address()).Msg("entry started")
	return trace.Wrap(group.Wait())
}

// loadSuspects reads the known suspects before the first request, so that a
// request that crashes upstreams stays blocked after the loss of all processes.
// While the platform is down the entry starts without them.
func (d *Entry) loadSuspects(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, suspectsTimeout)
	defer cancel()
	if err := d.suspects.Load(ctx); err != nil {
		d.logger.Warn().Err(err).Msg("suspects are not loaded yet")
	}
}

// fetchConfig asks peers for the configuration until the process has one, and
// for the instances until the platform's list has been read, so that it serves
// while the platform is down.
func (d *Entry) fetchConfig(ctx context.Context) {
	wait := configRetryPause
	for ctx.Err() == nil {
		if d.holder.Version() == 0 {
			d.fetchBody(ctx)
		}
		if !d.members.Loaded() {
			d.members.ApplyPeers(d.fetcher.Instances(ctx, d.settings.Peers), time.Now())
		}
		complete := d.holder.Version() > 0 && len(d.members.Members(storage.RoleAgent, time.Now())) > 0
		if complete && d.members.Loaded() {
			return
		}
		pause.For(ctx, wait)
		if complete {
			wait = min(2*wait, configRetryMax)
		}
	}
}

func (d *Entry) fetchBody(ctx context.Context) {
	addresses := append([]string(nil), d.settings.Peers...)
	for _, m := range d.members.Members(storage.RoleAgent, time.Now()) {
		addresses = append(addresses, m.Address)
	}
	if doc, err := d.fetcher.Highest(ctx, addresses, configPeers); err == nil {
		d.holder.Offer(doc)
	}
}

func (d *Entry) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainTimeout)
	defer cancel()
	start := time.Now()
	d.links.SetLeaving()
	batch := make(chan error, 1)
	go func() { batch <- d.runner.Drain(ctx) }()
	err := errors.Join(d.entry.Drain(ctx), <-batch)
	d.logger.Info().Err(err).Dur("took", time.Since(start)).Msg("entry drained")
}

func (d *Entry) shutdown() {
	shutdown(d.server)
	if d.peerServer != nil {
		shutdown(d.peerServer)
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	d.intents.Close(ctx)
}

// untilDone drops the error that a loop returns because ctx has ended.
func untilDone(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return trace.Wrap(err)
}

// entrySuspects adapts the table of suspects to the entry.
type entrySuspects struct{ *poison.Table }

const blockedReason = "the request was in progress at two upstream crashes"

// Status converts the status of the table.
func (s entrySuspects) Status(fingerprint uint64, now time.Time) (suspect bool, blockedFor time.Duration, reason string) {
	switch s.Table.Status(fingerprint, now) {
	case poison.Blocked:
		return true, s.Remaining(fingerprint, now), blockedReason
	case poison.Suspect:
		return true, 0, ""
	default:
		return false, 0, ""
	}
}
