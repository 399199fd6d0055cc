package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/entry"
	"github.com/magnoliausher/magnoliausher/idempotency"
	"github.com/magnoliausher/magnoliausher/instance"
	"github.com/magnoliausher/magnoliausher/intake"
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

// Number of peers queried for the configuration at startup, and the interval
// between rounds of queries. A list of all instances is about 200 KB at the target size, so
// the interval grows once the process can serve.
const (
	configPeerCount        = 3
	configRetryInterval    = 500 * time.Millisecond
	configRetryMaxInterval = time.Minute
)

// uploadPath is the path of uploads of package entry.
const uploadPath = "/v1/files"

// suspectsLoadTimeout bounds loading the suspects at startup.
const suspectsLoadTimeout = time.Second

// Entry is the process that serves callers and operators.
type Entry struct {
	settings *settings.Entry
	logger   zerolog.Logger

	holder   *contract.Holder
	platform *storage.Limited
	members  *instance.Table
	links    *link.EntryClient
	entry    *entry.Entry
	intents  *idempotency.Store
	poller   *contract.Poller
	fetcher  link.Fetcher
	runner   *job.Runner
	sweeper  *job.Sweeper
	operator *operator.API
	suspects *poison.Persister

	server       *gracefulServer
	connections  *intake.Connections
	listener     net.Listener
	peerServer   *http.Server // nil if no peer address is set
	peerListener net.Listener
	peers        *intake.Connections // of peerServer
	bodies       *intake.Budget
}

// NewEntry creates an entry and opens its listeners; Run serves them.
func NewEntry(s *settings.Entry, logger zerolog.Logger) (*Entry, error) {
	config, err := s.TLS.Config()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	client, err := storage.NewClient(storage.ClientConfig{BaseURL: "http://" + s.Platform.Address, Timeout: s.Platform.Timeout, Log: logger})
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
	suspects := poison.NewTable(poison.Config{OnChange: logChange(logger)})
	store := contract.NewStore(limited)
	d.links = d.newLinks(config, suspects)
	d.poller = contract.NewPoller(store, d.holder, contract.PollerConfig{Log: logger})
	d.suspects = &poison.Persister{Table: suspects, Rows: limited, Rank: d.rank, Log: logger}
	jobs := d.newBatchAPI()
	d.operator = operator.New(operator.Config{
		ID: s.Instance.ID, Store: store, Holder: d.holder, Fleet: d.links,
		PossiblyStale: func() bool { return time.Since(d.configConfirmedAt()) > entry.ConfigStaleAfter },
		Log:           logger,
	})
	d.entry = d.newEntry(jobs.Handler(), suspects)
	d.bodies = intake.NewBudget(s.MemoryLimitMB)
	d.server = newGracefulServer(&http.Server{Handler: d.limitBodies(d.entry.Handler()), ReadHeaderTimeout: readHeaderTimeout})
	d.connections = intake.NewConnections("callers", intake.NewConnectionLimits(s.MaxDescriptors, s.MemoryLimitMB, callerPercent), logger)
	d.connections.Install(d.server.Server)
	for _, note := range s.Notes() {
		logger.Warn().Msg(note)
	}
	return d, d.openListeners()
}

// limitBodies limits the memory for request bodies except uploads, which are not kept and
// of which few run at once.
func (d *Entry) limitBodies(handler http.Handler) http.Handler {
	limited := d.bodies.Handler(handler, settings.EntryBodyCopies, math.MaxInt64, d.logger)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, uploadPath) {
			handler.ServeHTTP(w, r)
			return
		}
		limited.ServeHTTP(w, r)
	})
}

func (d *Entry) newLinks(config *tls.Config, suspects *poison.Table) *link.EntryClient {
	return link.NewEntryClient(link.EntryClientConfig{
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
		ID:                    d.settings.Instance.ID,
		DataCentre:            d.settings.Instance.DataCentre,
		Runner:                d.links,
		Holder:                d.holder,
		Idempotency:           d.intents,
		Suspects:              suspectsAdapter{suspects, d.trialRank},
		Jobs:                  jobs,
		Operator:              d.operator.Handler(),
		ParsePrompt:           parsePrompt,
		ConfigConfirmedAt:     d.configConfirmedAt,
		Logger:                d.logger,
		MaxBodyBytes:          d.settings.MaxBodyBytes,
		AcceptTimeout:         d.settings.AcceptTimeout,
		EngineProgressTimeout: d.settings.ProgressTimeout,
	})
}

// parsePrompt returns the prefix hash and token count of a request. They are the
// same values that engines compute, so that routing finds the engine with the
// prefix in its cache.
func parsePrompt(body []byte) (prefix uint64, tokens int, parts []uint64) {
	p, err := upstream.ParsePrompt(body)
	if err != nil {
		return 0, 0, nil
	}
	return p.Prefix, p.Tokens, p.Parts
}

// configConfirmedAt returns the last time an agent confirmed the configuration.
func (d *Entry) configConfirmedAt() time.Time {
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

func (d *Entry) openListeners() error {
	var err error
	if d.listener, err = listen(d.settings.Instance.Listen); err != nil {
		return err
	}
	if d.settings.Instance.PeerListen == "" {
		return nil
	}
	if d.peerServer, err = link.NewServer(d.bodies.CallHandler(peerHandler(d.links), callCopies, maxPeerMessage, d.logger), d.fetcher.TLS); err != nil {
		return trace.Wrap(err)
	}
	limits := intake.NewConnectionLimits(d.settings.MaxDescriptors, d.settings.MemoryLimitMB, instancePercent)
	d.peers = intake.NewConnections("instances", limits, d.logger)
	d.peers.InstallCalls(d.peerServer, d.settings.MemoryLimitMB)
	d.peerListener, err = listen(d.settings.Instance.PeerListen)
	return err
}

// peerHandler serves the configuration to other instances.
func peerHandler(links *link.EntryClient) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(magnoliausherv1connect.NewPeerHandler(links, link.HandlerOptions()...))
	return mux
}

// PeerAddress returns the IP:port for peers, or "" if none is set.
func (d *Entry) PeerAddress() string {
	if d.peerListener == nil {
		return ""
	}
	return d.peerListener.Addr().String()
}

// Ready reports whether the entry has a configuration and at least one ready
// upstream for each of its services.
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

// ConfigVersion returns the version of the entry's active configuration.
func (d *Entry) ConfigVersion() uint64 { return d.holder.Version() }

// Address returns the IP:port for callers.
func (d *Entry) Address() string { return d.listener.Addr().String() }

// Run serves until ctx ends, then drains the requests in progress and the batch
// chunks that the entry holds. If a component fails, Run stops without draining and
// returns its error.
func (d *Entry) Run(ctx context.Context) error {
	if d.settings.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(d.settings.MemoryLimitMB) << 20 * memoryLimitPercent / 100)
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	d.loadSuspects(background)
	group, background := errgroup.WithContext(background)
	group.Go(func() error { d.suspects.Run(background); return nil })
	group.Go(func() error { return ignoreCancellation(background, d.members.Poll(background, d.platform, d.logger)) })
	group.Go(func() error { return ignoreCancellation(background, d.links.Serve(background)) })
	group.Go(func() error { d.poller.Run(background); return nil })
	group.Go(func() error { d.entry.Run(background); return nil })
	group.Go(func() error { d.fetchConfig(background); return nil })
	group.Go(func() error { return ignoreCancellation(background, d.runner.Run(background)) })
	group.Go(func() error { d.sweeper.Run(background); return nil })
	group.Go(func() error { d.operator.Run(background); return nil })
	group.Go(func() error { return serve(d.server.Server, d.connections.Listen(d.server.listen(d.listener))) })
	if d.peerServer != nil {
		group.Go(func() error { return serve(d.peerServer, d.peers.Listen(d.peerListener)) })
	}
	group.Go(func() error {
		select {
		case <-background.Done(): // another goroutine failed
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

// loadSuspects loads the suspects before the first request, so that a request that
// crashes upstreams stays blocked after a restart of all processes. If the platform
// is down, the entry starts without them.
func (d *Entry) loadSuspects(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, suspectsLoadTimeout)
	defer cancel()
	if err := d.suspects.Load(ctx); err != nil {
		d.logger.Warn().Err(err).Msg("loading suspects failed; starting without them")
	}
}

// fetchConfig queries peers for the configuration until the process has one, and
// for the instances until the platform's list has been read, so that the process
// can start serving while the platform is down.
func (d *Entry) fetchConfig(ctx context.Context) {
	wait := configRetryInterval
	for ctx.Err() == nil {
		if d.holder.Version() == 0 {
			d.fetchConfigFromPeers(ctx)
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
			wait = min(2*wait, configRetryMaxInterval)
		}
	}
}

func (d *Entry) fetchConfigFromPeers(ctx context.Context) {
	addresses := append([]string(nil), d.settings.Peers...)
	for _, m := range d.members.Members(storage.RoleAgent, time.Now()) {
		addresses = append(addresses, m.Address)
	}
	if doc, err := d.fetcher.HighestVersion(ctx, addresses, configPeerCount); err == nil {
		d.holder.SetIfNewer(doc)
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
	d.stopServer()
	if d.peerServer != nil {
		shutdown(d.peerServer)
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	d.intents.Close(ctx)
}

// stopServer rejects what still arrives as not executed, and closes the server.
func (d *Entry) stopServer() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := d.server.stop(ctx); err != nil {
		d.logger.Warn().Err(err).Msg("connections were still open at the end of the shutdown")
		_ = d.server.Close()
	}
}

// ignoreCancellation returns nil if err was caused by the end of ctx.
func ignoreCancellation(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return trace.Wrap(err)
}

// suspectsAdapter adapts poison.Table to the interface of package entry.
type suspectsAdapter struct {
	*poison.Table
	trialRank func(fingerprint uint64) int
}

// Admit implements entry.Suspects.
func (s suspectsAdapter) Admit(parts []uint64, now time.Time) poison.Admission {
	return s.Table.Admit(parts, s.trialRank, now)
}

// trialRank returns the rank of this entry among all entries for a trial of a blocked
// fingerprint.
func (d *Entry) trialRank(fingerprint uint64) int {
	var others []string
	for _, m := range d.members.Members(storage.RoleEntry, time.Now()) {
		if m.ID != d.settings.Instance.ID && !m.Leaving {
			others = append(others, m.ID)
		}
	}
	return poison.TrialRank(fingerprint, d.settings.Instance.ID, others)
}

const blockedReason = "the request was in progress at two upstream crashes"

// Status implements entry.Suspects.
func (s suspectsAdapter) Status(fingerprint uint64, now time.Time) (suspect bool, blockedFor time.Duration, reason string) {
	switch s.Table.Status(fingerprint, now) {
	case poison.Blocked:
		return true, s.Remaining(fingerprint, now), blockedReason
	case poison.Suspect:
		return true, 0, ""
	default:
		return false, 0, ""
	}
}
