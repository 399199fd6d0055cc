package daemon

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/sync/errgroup"

	"github.com/magnoliausher/magnoliausher/batch"
	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/drain"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/forward"
	"github.com/magnoliausher/magnoliausher/hedge"
	"github.com/magnoliausher/magnoliausher/intake"
	"github.com/magnoliausher/magnoliausher/limit"
	"github.com/magnoliausher/magnoliausher/memory"
	"github.com/magnoliausher/magnoliausher/metric"
	"github.com/magnoliausher/magnoliausher/origin"
	"github.com/magnoliausher/magnoliausher/peer"
	"github.com/magnoliausher/magnoliausher/platform"
	"github.com/magnoliausher/magnoliausher/poison"
	"github.com/magnoliausher/magnoliausher/settings"
)

const (
	// logBufferLines is the number of buffered log lines; further lines are dropped
	// and counted.
	logBufferLines = 4096
	// answerMemoryPercent is the share of the memory limit for the long answers of
	// upstreams, and resultMemoryPercent that for long results of batch items and large
	// bodies of items while callers read them. defaultAnswerMemory is the budget in bytes of
	// either in a process without a limit. Usual answers and results need none of it.
	answerMemoryPercent = 12
	resultMemoryPercent = 8
	defaultAnswerMemory = 64 << 20
	memoryLimitPercent  = 60
	// loadBalancerDelay is how long the load balancer keeps opening connections after
	// the process becomes unready: two probes, one second apart.
	loadBalancerDelay = 2300 * time.Millisecond
	// exitReserve is the part of the grace period kept for process exit.
	exitReserve = 400 * time.Millisecond
	// answerReserve is the part of the grace period before it in which the last answers
	// reach their callers.
	answerReserve = 200 * time.Millisecond
	// settingsCheckInterval is how often the settings file is checked for changes that
	// come without a signal.
	settingsCheckInterval = time.Second
	// gatewayIdleTimeout closes callers' idle connections. It exceeds the idle time
	// that configurations allow callers, so that the callers close first.
	gatewayIdleTimeout = time.Minute
	// memberRetryInterval is the delay before retrying a failed write of this gateway's
	// member row.
	memberRetryInterval = 300 * time.Millisecond
	// expiryCheckInterval is how often upstream records are checked for expiry.
	expiryCheckInterval = 100 * time.Millisecond
	// rateCheckInterval is how often the configuration is checked for other rates.
	rateCheckInterval = 50 * time.Millisecond
	// peerCallCopies is how many times its size the call of a peer takes: connect's buffer,
	// the decoded message and its decoded arguments. maxPeerCallBytes exceeds the largest
	// call, the object of a job of 4 MiB in base64.
	peerCallCopies   = 3
	maxPeerCallBytes = 32 << 20
	// callerPercent is the part of the descriptors for connections of callers. Each of
	// their requests needs one more for its upstream.
	callerPercent = 40
	// crashesToBlock is the number of upstream crashes after which a request, or a part
	// of prompts, that was running at each of them is blocked. Usually seven unrelated
	// requests run beside the one that causes a crash.
	crashesToBlock = 3
	// suspectRowPrefix is the prefix of the rows of blocked requests and parts: the
	// partition and the table.
	suspectRowPrefix = "poison/suspects/"
)

// Gateway is the process that serves callers' requests and batch jobs.
type Gateway struct {
	file     string
	settings *settings.Gateway
	log      zerolog.Logger
	logLevel *levelSampler
	closeLog func()

	self         peer.Member
	store        *platform.Store
	relay        *peer.Relay
	holder       *fleet.Holder
	suspects     *poison.Table
	persister    *poison.Persister
	versions     *origin.Registry // of software at which streams begin
	originBackup *origin.Backup
	dispatcher   *dispatch.Dispatcher
	limits       *limit.Shared // rates of organisations
	exchange     *peer.Exchange
	jobs         *batch.Service
	draining     atomic.Bool
	shutdown     *drain.State
	hedging      *hedge.Hedger
	ingress      *gracefulServer
	readiness    *http.Server
	peers        *http.Server
	metrics      *http.Server
	bodies       *intake.Budget
	// connections are the limits of the listeners, by server.
	connections map[*http.Server]*intake.Connections
}

// NewGateway creates a gateway from its settings, which were loaded from file. Run
// starts it and later reloads the file, of which only the seeds, the log level
// and the hedging take effect then.
func NewGateway(file string, s *settings.Gateway) (*Gateway, error) {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	logLevel := newLevelSampler(level)
	writer := diode.NewWriter(nopCloseWriter{os.Stdout}, logBufferLines, 0, metric.LogLinesDropped)
	g := &Gateway{file: file, settings: s, holder: fleet.NewHolder(), shutdown: drain.NewState(), hedging: hedge.New(s.Hedging), store: platform.NewStore(s.StoreAddress),
		logLevel: logLevel, log: zerolog.New(writer).Sample(logLevel).With().Timestamp().Str("instance", s.Instance.ID).Logger(),
		closeLog: func() {
			_ = writer.Close() // a failure cannot be logged anymore
		},
		bodies: intake.NewBudget(s.MemoryLimitMB),
		self: peer.Member{Name: s.Instance.ID, Incarnation: peer.NewIncarnation(), Address: s.Instance.PeerListen,
			DataCentre: s.Instance.DataCentre},
	}
	g.suspects = poison.NewTable(poison.Config{BlockAfter: crashesToBlock, OnChange: logChange(g.log)})
	g.dispatcher = dispatch.New(dispatch.Config{Self: g.self.Name, DataCentre: g.self.DataCentre, Holder: g.holder, Log: g.log})
	g.dispatcher.UseSpeeds(s.BySpeed)
	g.limits = limit.NewShared(time.Now(), rand.Float64)
	g.exchange = peer.New(peer.Config{Self: g.self, Holder: g.holder, Suspects: g.suspects, Limits: g.limits, Dispatcher: g.dispatcher, Log: g.log})
	g.limits.OnChange(func() { g.exchange.NotifyChange(false) })
	g.exchange.SetSeeds(s.Seeds)
	g.dispatcher.OnChange(g.exchange.NotifyChange)
	g.relay = peer.NewRelay(g.store, g.exchange)
	registry := &origin.Registry{Rows: g.relay, Holder: g.holder, Log: g.log, RemovesObsolete: g.removesObsolete}
	origins := origin.NewTracker(registry, g.exchange, g.log)
	g.exchange.UseOrigins(origins)
	g.versions = registry
	g.originBackup = origin.NewBackup(g.relay, origins, g.self.Name, g.exchange.Rank, g.log)
	g.persister = &poison.Persister{Table: g.suspects, Rows: g.relay, Rank: g.exchange.Rank, Log: g.log,
		Prefix: suspectRowPrefix, MinCrashes: crashesToBlock}
	engines := platform.NewEngineClient()
	tracker := newCrashTracker(g.suspects, engines.AcceptsConnections, g.exchange.TrialRank, g.log)
	answers := memory.NewBudget(memoryShare(s.MemoryLimitMB, answerMemoryPercent))
	results := memory.NewBudget(memoryShare(s.MemoryLimitMB, resultMemoryPercent))
	g.jobs, err = batch.New(batch.Config{Self: g.self, Table: g.relay, Feed: g.relay, Objects: g.relay.Objects(),
		Holder: g.holder, Dispatcher: g.dispatcher, Upstreams: engines,
		Members: g.exchange.Members, HandOver: g.exchange.HandOver, AnnounceTakenOver: g.exchange.SetTakenJobs, Memory: answers, Results: results, Bodies: g.bodies, JobRetention: s.JobRetention, Log: g.log})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	g.exchange.OnHandOver(g.jobs.TakeOver)
	g.bodies.OnPressure(g.jobs.FreeMemory)
	forwarder := forward.New(forward.Config{Dispatcher: g.dispatcher, Upstreams: engines, CrashTracker: tracker, Memory: answers, Shutdown: g.shutdown, Hedging: g.hedging, Origins: origins, Log: g.log})
	g.assembleServers(&platform.Ingress{Holder: g.holder, Forwarder: forwarder, Jobs: g.jobs, Shutdown: g.shutdown, Rates: g.limits, Bodies: g.bodies, NewerConfiguration: g.exchange.KnowsNewerConfiguration, Log: g.log})
	g.limitConnections()
	return g, nil
}

// limitConnections limits the connections of each listener. The rest of the descriptors is
// for upstreams, of which each request in progress has one, and for calls to the store and
// to other gateways.
func (g *Gateway) limitConnections() {
	g.connections = make(map[*http.Server]*intake.Connections)
	for _, l := range []struct {
		server  *http.Server
		name    string
		percent int // of the descriptors
	}{
		{g.ingress.Server, "callers", callerPercent}, {g.peers, "peers", 10}, {g.readiness, "readiness", 3}, {g.metrics, "metrics", 2},
	} {
		limits := intake.NewConnectionLimits(g.settings.MaxDescriptors, g.settings.MemoryLimitMB, l.percent)
		c := intake.NewConnections(l.name, limits, g.log)
		if l.server == g.ingress.Server {
			c.LimitResponses(intake.NewResponseLimits(g.settings.MemoryLimitMB, limits.Connections, g.settings.UnreadTimeout))
			c.LimitHeads(g.headerLimit)
		}
		c.Install(l.server)
		g.connections[l.server] = c
	}
	for _, note := range g.settings.Notes() {
		g.log.Warn().Msg(note)
	}
}

// headerSlack is what the header fields may take beyond the configuration's limit, which
// does not say whether line ends and separators count. It is the slack of net/http.
const headerSlack = 4 << 10

// headerLimit returns the limit for the header fields of a request, 0 for none.
func (g *Gateway) headerLimit() int {
	if c := g.holder.View().Configuration; c != nil && c.Limits.MaxHeaderBytes > 0 {
		return c.Limits.MaxHeaderBytes + headerSlack
	}
	return 0
}

// callerTimeouts returns the limits of the configuration for connections of callers. The
// time for a head is doubled, since it includes the way to this process and its own delays.
func (g *Gateway) callerTimeouts() (head, idle time.Duration) {
	head, idle = readHeaderTimeout, gatewayIdleTimeout
	if c := g.holder.View().Configuration; c != nil {
		head, idle = cmp.Or(2*c.Limits.HeaderTimeout, head), cmp.Or(c.Limits.IdleTimeout, idle)
	}
	return head, idle
}

// memoryShare returns a budget in bytes of a process with a memory limit in MB, 0 for none.
func memoryShare(limitMB int, percent int64) int64 {
	if limitMB == 0 {
		return defaultAnswerMemory
	}
	return int64(limitMB) << 20 * percent / 100
}

func (g *Gateway) assembleServers(ingress http.Handler) {
	// A new connection may wait for its first request as long as an idle one; the time for
	// a head is limited by callerTimeouts.
	g.ingress = newGracefulServer(&http.Server{Handler: g.closeWhenDraining(ingress), ReadHeaderTimeout: gatewayIdleTimeout,
		IdleTimeout: gatewayIdleTimeout})
	g.readiness = &http.Server{Handler: platform.ReadinessHandler(g.ready), ReadHeaderTimeout: readHeaderTimeout}
	g.peers = &http.Server{Handler: g.bodies.Handler(g.exchange.Handler(), peerCallCopies, maxPeerCallBytes, g.log), ReadHeaderTimeout: readHeaderTimeout}
	g.metrics = &http.Server{Handler: metric.Handler(), ReadHeaderTimeout: readHeaderTimeout}
}

// levelSampler drops log lines below a level that a reload may change. Loggers derived
// from one with a sampler share it, while the level of a zerolog.Logger is copied.
type levelSampler struct{ level atomic.Int32 }

func newLevelSampler(level zerolog.Level) *levelSampler {
	s := &levelSampler{}
	s.set(level)
	return s
}

func (s *levelSampler) set(level zerolog.Level) { s.level.Store(int32(level)) }

// Sample implements zerolog.Sampler.
func (s *levelSampler) Sample(level zerolog.Level) bool { return int32(level) >= s.level.Load() }

// nopCloseWriter hides Close, so that closing the log does not close standard output.
type nopCloseWriter struct{ io.Writer }

// closeWhenDraining tells callers to open a new connection once the shutdown has begun.
func (g *Gateway) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (g *Gateway) ready() bool { return !g.draining.Load() && g.holder.View().Ready() }

// Run serves until ctx ends, then drains the requests in progress.
func (g *Gateway) Run(ctx context.Context) error {
	defer g.closeLog()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	if g.settings.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(g.settings.MemoryLimitMB) << 20 * memoryLimitPercent / 100)
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	if err := g.listen(background, group); err != nil {
		stop()
		return err
	}
	group.Go(func() error { platform.WatchConfiguration(background, g.store, g.holder, g.log); return nil })
	group.Go(func() error { platform.WatchEngines(background, g.store, g.holder, g.relay, g.log); return nil })
	group.Go(func() error { return g.jobs.Run(background) })
	group.Go(func() error { g.followMembers(background); return nil })
	group.Go(func() error { g.persister.Run(background); return nil })
	group.Go(func() error { g.versions.Run(background); return nil })
	group.Go(func() error { g.originBackup.Run(background); return nil })
	group.Go(func() error { g.expireUpstreams(background); return nil })
	group.Go(func() error { g.updateRates(background); return nil })
	group.Go(func() error {
		g.connections[g.ingress.Server].Expire(background, g.callerTimeouts)
		return nil
	})
	group.Go(func() error { g.watchSettings(background, reload); return nil })
	group.Go(func() error {
		select {
		case <-background.Done(): // another goroutine failed
		case <-ctx.Done():
			g.drain(background)
		}
		stop()
		return nil
	})
	g.log.Info().Str("address", g.settings.Instance.Listen).Uint64("incarnation", g.self.Incarnation).Msg("gateway started")
	err := group.Wait()
	g.log.Info().Err(err).Msg("gateway stopped")
	return trace.Wrap(err)
}

func (g *Gateway) listen(ctx context.Context, group *errgroup.Group) error {
	servers := []struct {
		server  *http.Server
		address string
	}{
		{g.ingress.Server, g.settings.Instance.Listen},
		{g.readiness, g.settings.ReadyListen},
		{g.peers, g.settings.Instance.PeerListen},
		{g.metrics, g.settings.MetricsListen},
	}
	for _, s := range servers {
		if s.address == "" {
			continue
		}
		l, err := listen(s.address)
		if err != nil {
			return trace.Wrap(err, "listening on %s", s.address)
		}
		if s.server == g.ingress.Server {
			l = g.ingress.listen(l)
		}
		l = g.connections[s.server].Listen(l)
		group.Go(func() error { return serve(s.server, l) })
		group.Go(func() error {
			<-ctx.Done()
			return trace.Wrap(s.server.Close())
		})
	}
	address, err := net.ResolveUDPAddr("udp", g.settings.Instance.PeerListen)
	if err != nil {
		return trace.Wrap(err)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return trace.Wrap(err, "listening for peer reports on %s", address)
	}
	group.Go(func() error { return g.exchange.Run(ctx, conn) })
	return nil
}

// followMembers registers this gateway's member row and follows those of its peers.
func (g *Gateway) followMembers(ctx context.Context) {
	registered := make(chan struct{})
	go func() {
		defer close(registered)
		peer.Register(ctx, g.store, g.self, memberRetryInterval, g.log)
	}()
	peer.WatchMembers(ctx, g.store, g.store, g.exchange, g.log)
	<-registered
}

// removesObsolete reports whether this gateway removes software versions that are no longer
// in use: the first of the live ones, if its list of upstreams comes from the store.
func (g *Gateway) removesObsolete() bool {
	rank, _ := g.exchange.Rank()
	return rank == 0 && g.relay.StoreReachable()
}

func (g *Gateway) expireUpstreams(ctx context.Context) {
	ticker := time.NewTicker(expiryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.holder.Expire(now)
		}
	}
}

// updateRates passes the rates of the configuration on to the limiter, which needs them
// for what other gateways report before a caller comes here.
func (g *Gateway) updateRates(ctx context.Context) {
	ticker := time.NewTicker(rateCheckInterval)
	defer ticker.Stop()
	var last *fleet.Configuration
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if c := g.holder.View().Configuration; c != last {
				g.limits.SetRates(platform.OrganisationRates(c), now)
				last = c
			}
		}
	}
}

// drain marks the gateway unready, hands batch jobs over to peers and waits for
// requests in progress.
func (g *Gateway) drain(ctx context.Context) {
	started := time.Now()
	end := started.Add(g.settings.ShutdownGrace - exitReserve)
	g.shutdown.Begin(drain.Plan{RoutedUntil: started.Add(loadBalancerDelay), AnsweredBy: end.Add(-answerReserve)})
	g.draining.Store(true)
	g.exchange.Leave()
	g.log.Info().Dur("grace", g.settings.ShutdownGrace).Msg("gateway is shutting down")
	released := make(chan struct{})
	go func() {
		defer close(released)
		g.jobs.Release()
	}()
	time.Sleep(loadBalancerDelay)
	limited, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	err := g.ingress.stop(limited)
	select {
	case <-released:
	case <-limited.Done():
	}
	if c := g.holder.View().Configuration; c != nil && c.RequiresKeys() { // rate limits count known gateways
		if err := peer.Unregister(limited, g.store, g.self); err != nil {
			g.log.Warn().Err(err).Msg("failed to remove the member row")
		}
	}
	g.log.Info().Err(err).Dur("took", time.Since(started)).Msg("gateway drained")
}

// watchSettings reloads the settings file on a signal or when its content changes.
// Only the seeds, the log level, the hedging and placement by speed take effect at runtime.
func (g *Gateway) watchSettings(ctx context.Context, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	last := g.settings.Hash // of what was loaded, or a change before this call would be missed
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			signalled = true
		case <-ticker.C:
		}
		hash := g.settingsHash()
		if hash == last && !signalled {
			continue
		}
		last = hash
		s, err := settings.LoadGateway(g.file)
		if err != nil {
			g.log.Error().Err(err).Msg("reloading settings failed; keeping the previous settings")
			continue
		}
		level, err := zerolog.ParseLevel(s.Log.Level)
		if err != nil {
			g.log.Error().Err(err).Msg("reloading settings failed; keeping the previous settings")
			continue
		}
		g.exchange.SetSeeds(s.Seeds)
		g.hedging.SetPolicy(s.Hedging)
		g.dispatcher.UseSpeeds(s.BySpeed)
		g.log.Info().Bool("signal", signalled).Strs("seeds", s.Seeds).Stringer("level", level).
			Int("hedging_percent", s.Hedging.Percent).Bool("by_speed", s.BySpeed).Msg("settings reloaded")
		g.logLevel.set(level)
	}
}

// settingsHash returns a hash of the settings file, or 0 if it cannot be read.
func (g *Gateway) settingsHash() uint64 {
	data, err := os.ReadFile(g.file)
	if err != nil {
		g.log.Warn().Err(err).Msg("reading the settings file failed")
		return 0
	}
	return xxhash.Sum64(data)
}
