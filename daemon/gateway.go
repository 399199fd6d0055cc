package daemon

import (
	"context"
	"io"
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
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/forward"
	"github.com/magnoliausher/magnoliausher/metric"
	"github.com/magnoliausher/magnoliausher/peer"
	"github.com/magnoliausher/magnoliausher/platform"
	"github.com/magnoliausher/magnoliausher/poison"
	"github.com/magnoliausher/magnoliausher/settings"
)

const (
	// logBuffer is the number of lines that may wait to be written; further ones
	// are dropped and counted.
	logBuffer = 4096
	// memoryShare is the part of the allowed memory, in percent, at which the
	// collector works harder; the rest is for bytes that the kernel holds.
	memoryShare = 60
	// balancerDelay is how long the load balancer goes on to open connections
	// after the process has become unready: two checks a second apart.
	balancerDelay = 2300 * time.Millisecond
	// exitReserve is left of the grace period for the end of the process.
	exitReserve = 400 * time.Millisecond
	// settingsCheck is how often the settings file is looked at; it may change
	// without a signal.
	settingsCheck = time.Second
	// gatewayIdleTimeout closes callers' idle connections. It is over the idle
	// time that configurations allow callers, so that they close first.
	gatewayIdleTimeout = time.Minute
	// memberRetry is the pause after a failed write of the own member row.
	memberRetry = 300 * time.Millisecond
	// lapseCheck is how often upstreams whose entries lapsed are looked at.
	lapseCheck = 100 * time.Millisecond
	// crashesToBlock: a request that was running at this many crashes is not sent
	// again. One crash usually has seven innocent requests beside the guilty one.
	crashesToBlock = 3
)

// Gateway is the process that takes callers' requests and batch jobs.
type Gateway struct {
	file     string
	settings *settings.Gateway
	log      zerolog.Logger
	close    func()

	self       peer.Member
	store      *platform.Store
	relay      *peer.Relay
	holder     *fleet.Holder
	suspects   *poison.Table
	dispatcher *dispatch.Dispatcher
	exchange   *peer.Exchange
	jobs       *batch.Service
	draining   atomic.Bool
	ingress    *http.Server
	readiness  *http.Server
	peers      *http.Server
	metrics    *http.Server
}

// NewGateway assembles a gateway; Run starts it.
func NewGateway(file string, s *settings.Gateway) (*Gateway, error) {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	writer := diode.NewWriter(openWriter{os.Stdout}, logBuffer, 0, metric.LogLinesDropped)
	g := &Gateway{file: file, settings: s, holder: fleet.NewHolder(), store: platform.NewStore(s.Store),
		log: zerolog.New(writer).Level(level).With().Timestamp().Str("instance", s.Instance.ID).Logger(),
		close: func() {
			_ = writer.Close() // nothing is left to report a failure to
		},
		suspects: poison.NewTable(poison.Config{BlockAfter: crashesToBlock}),
		self: peer.Member{Name: s.Instance.ID, Incarnation: peer.NewIncarnation(), Address: s.Instance.PeerListen,
			DataCentre: s.Instance.DataCentre},
	}
	g.dispatcher = dispatch.New(dispatch.Config{Self: g.self.Name, DataCentre: g.self.DataCentre, Holder: g.holder, Log: g.log})
	g.exchange = peer.New(peer.Config{Self: g.self, Holder: g.holder, Suspects: g.suspects, Dispatcher: g.dispatcher, Log: g.log})
	g.exchange.SetSeeds(s.Seeds)
	g.dispatcher.OnChange(g.exchange.NotifyChange)
	g.relay = peer.NewRelay(g.store, g.exchange)
	engines := platform.NewEngineClient()
	suspects := crashes{table: g.suspects, accepts: engines.AcceptsConnections, log: g.log}
	g.jobs, err = batch.New(batch.Config{Self: g.self, Table: g.relay, Feed: g.relay, Objects: g.relay.Objects(),
		Holder: g.holder, Dispatcher: g.dispatcher, Upstreams: engines, Suspects: suspects,
		Members: g.exchange.Members, HandOver: g.exchange.HandOver, AnnounceTakenOver: g.exchange.SetTakenJobs, JobRetention: s.KeepJobs, Log: g.log})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	g.exchange.OnHandOver(g.jobs.TakeOver)
	forwarder := forward.New(forward.Config{Dispatcher: g.dispatcher, Upstreams: engines, CrashTracker: suspects, Log: g.log})
	g.assembleServers(&platform.Ingress{Holder: g.holder, Forwarder: forwarder, Jobs: g.jobs, Log: g.log})
	return g, nil
}

func (g *Gateway) assembleServers(ingress http.Handler) {
	g.ingress = &http.Server{Handler: g.closing(ingress), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: gatewayIdleTimeout,
		MaxHeaderBytes: 64 << 10}
	g.readiness = &http.Server{Handler: platform.ReadinessHandler(g.ready), ReadHeaderTimeout: readHeaderTimeout}
	g.peers = &http.Server{Handler: g.exchange.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	g.metrics = &http.Server{Handler: metric.Handler(), ReadHeaderTimeout: readHeaderTimeout}
}

// openWriter hides Close, so that the end of a gateway does not close standard output.
type openWriter struct{ io.Writer }

// closing tells callers to open a new connection once the shutdown has begun.
func (g *Gateway) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (g *Gateway) ready() bool { return !g.draining.Load() && g.holder.View().Ready() }

// Run serves until ctx ends, then finishes the requests in progress.
func (g *Gateway) Run(ctx context.Context) error {
	defer g.close()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	if g.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(g.settings.MemoryMB) << 20 * memoryShare / 100)
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
	group.Go(func() error { g.expireLapsed(background); return nil })
	group.Go(func() error { g.watchSettings(background, reload); return nil })
	group.Go(func() error {
		select {
		case <-background.Done(): // another part failed
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
		{g.ingress, g.settings.Instance.Listen},
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
		return trace.Wrap(err, "listening for reports on %s", address)
	}
	group.Go(func() error { return g.exchange.Run(ctx, conn) })
	return nil
}

// followMembers writes the own member row and follows those of the others.
func (g *Gateway) followMembers(ctx context.Context) {
	registered := make(chan struct{})
	go func() {
		defer close(registered)
		peer.Register(ctx, g.store, g.self, memberRetry, g.log)
	}()
	peer.WatchMembers(ctx, g.store, g.exchange, g.log)
	<-registered
}

func (g *Gateway) expireLapsed(ctx context.Context) {
	ticker := time.NewTicker(lapseCheck)
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

// drain becomes unready, gives batch work away, and waits for requests in progress.
func (g *Gateway) drain(ctx context.Context) {
	started := time.Now()
	end := started.Add(g.settings.Grace - exitReserve)
	g.draining.Store(true)
	g.exchange.Leave()
	g.log.Info().Dur("grace", g.settings.Grace).Msg("gateway shuts down")
	released := make(chan struct{})
	go func() {
		defer close(released)
		g.jobs.Release()
	}()
	time.Sleep(balancerDelay)
	limited, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	err := g.ingress.Shutdown(limited)
	select {
	case <-released:
	case <-limited.Done():
	}
	g.log.Info().Err(err).Dur("took", time.Since(started)).Msg("gateway drained")
}

// watchSettings reloads the settings file on a signal or when it has changed.
// Only the seeds and the log level can change while the process runs.
func (g *Gateway) watchSettings(ctx context.Context, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	last := g.fileHash()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			signalled = true
		case <-ticker.C:
		}
		hash := g.fileHash()
		if hash == last && !signalled {
			continue
		}
		last = hash
		s, err := settings.LoadGateway(g.file)
		if err != nil {
			g.log.Error().Err(err).Msg("settings not reloaded; the last ones stay in force")
			continue
		}
		g.exchange.SetSeeds(s.Seeds)
		g.log.Info().Bool("signal", signalled).Strs("seeds", s.Seeds).Msg("settings reloaded")
	}
}

// fileHash returns a hash of the settings file, 0 if it cannot be read.
func (g *Gateway) fileHash() uint64 {
	data, err := os.ReadFile(g.file)
	if err != nil {
		g.log.Warn().Err(err).Msg("settings file not read")
		return 0
	}
	return xxhash.Sum64(data)
}

// crashCheck is the time from a broken answer to the check whether its upstream
// has crashed. A crashed upstream is away for seconds.
const crashCheck = 50 * time.Millisecond

// crashes adapts the table of suspects to package forward. An answer that
// breaks off is a crash only if its upstream accepts no connections afterwards;
// faults of a connection would make suspects of innocent requests.
type crashes struct {
	table   *poison.Table
	accepts func(context.Context, *fleet.Upstream) bool
	log     zerolog.Logger
}

var _ forward.CrashTracker = crashes{}

// Blocked implements forward.CrashTracker.
func (c crashes) Blocked(fingerprint uint64) bool {
	return c.table.Status(fingerprint, time.Now()) == poison.Blocked
}

// RecordCrash implements forward.CrashTracker.
func (c crashes) RecordCrash(u *fleet.Upstream, fingerprint uint64) {
	time.AfterFunc(crashCheck, func() {
		if c.accepts(context.Background(), u) {
			return
		}
		now := time.Now()
		c.table.RecordCrash(crashID(u, now), []uint64{fingerprint}, now)
		c.log.Info().Str("upstream", u.ID).Uint64("fingerprint", fingerprint).
			Stringer("status", c.table.Status(fingerprint, now)).Msg("request was running at a crash")
	})
}

// crashID tells a crash from others by the upstream's incarnation and the time
// to the second, since its connections break one after the other.
func crashID(u *fleet.Upstream, now time.Time) uint64 {
	return xxhash.Sum64String(u.ID) ^ uint64(u.Started) ^ uint64(now.Unix())<<20
}
