package daemon

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/magnoliausher/magnoliausher/agent"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/intake"
	"github.com/magnoliausher/magnoliausher/link"
	"github.com/magnoliausher/magnoliausher/order"
	"github.com/magnoliausher/magnoliausher/poison"
	"github.com/magnoliausher/magnoliausher/settings"
	"github.com/magnoliausher/magnoliausher/storage"
	"github.com/magnoliausher/magnoliausher/upstream"
)

const (
	// callCopies is how many times its size the message of a call takes: the buffer that
	// grows and the decoded message.
	callCopies = 3
	// maxCallMessage exceeds every message of an entry: a request of max_body_bytes, 1 GiB at
	// most. maxPeerMessage exceeds the request for a configuration.
	maxCallMessage = 2 << 30
	maxPeerMessage = 64 << 10
	// agentPercent and instancePercent are the parts of the descriptors for connections of
	// entries to an agent, three each, and of other instances to an entry.
	agentPercent    = 40
	instancePercent = 20
)

// Agent is the process that runs next to one upstream.
type Agent struct {
	settings *settings.Agent
	logger   zerolog.Logger
	holder   *contract.Holder
	agent    *agent.Agent
	server   *http.Server
	listener net.Listener
}

// NewAgent creates an agent and opens its listener; Run serves it.
func NewAgent(s *settings.Agent, logger zerolog.Logger) (*Agent, error) {
	config, err := s.TLS.Config()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	holder := &contract.Holder{}
	suspects := poison.NewTable(poison.Config{})
	orders, err := newOrderLoop(s, logger)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a, err := agent.New(agent.Config{
		ID:              s.Instance.ID,
		DataCentre:      s.Instance.DataCentre,
		Service:         s.Service,
		Kind:            contract.Kind(s.Kind),
		Slots:           s.Slots,
		Engine:          upstream.NewEngineClient(upstream.EngineConfig{BaseURL: "http://" + s.UpstreamAddress, ProgressTimeout: s.ProgressTimeout}),
		Plain:           upstream.NewPlainClient(upstream.PlainConfig{BaseURL: "http://" + s.UpstreamAddress, ProgressTimeout: s.ProgressTimeout}),
		Holder:          holder,
		Logger:          logger,
		NewControl:      newControl(s, holder, suspects, logger),
		Suspects:        suspects,
		Orders:          orders,
		QueueLimit:      s.QueueLength,
		ProgressTimeout: s.ProgressTimeout,
		ProbeInterval:   s.HealthInterval,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	handler := intake.NewBudget(s.MemoryLimitMB).CallHandler(a.Handler(), callCopies, maxCallMessage, logger)
	server, err := link.NewServer(handler, config)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	limits := intake.NewConnectionLimits(s.MaxDescriptors, s.MemoryLimitMB, agentPercent)
	connections := intake.NewConnections("instances", limits, logger)
	connections.InstallCalls(server, s.MemoryLimitMB)
	for _, note := range s.Notes() {
		logger.Warn().Msg(note)
	}
	l, err := listen(s.Instance.Listen)
	if err != nil {
		return nil, err
	}
	return &Agent{settings: s, logger: logger, holder: holder, agent: a, server: server, listener: connections.Listen(l)}, nil
}

// newControl returns the function with which the agent creates its server for the
// control streams of the entries.
func newControl(s *settings.Agent, holder *contract.Holder, suspects *poison.Table, logger zerolog.Logger) func(agent.ControlDeps) agent.Control {
	return func(d agent.ControlDeps) agent.Control {
		return link.NewAgentServer(link.AgentServerConfig{
			ID:          s.Instance.ID,
			DataCentre:  s.Instance.DataCentre,
			Service:     s.Service,
			Incarnation: d.Incarnation,
			Load:        d.Load,
			Holder:      holder,
			Suspects:    suspects,
			Logger:      logger,
		})
	}
}

// ConfigVersion returns the version of the agent's active configuration.
func (d *Agent) ConfigVersion() uint64 { return d.holder.Version() }

// Rate limits of one agent's platform calls, which are made only for orders.
const (
	orderReadsPerSecond  = 5
	orderWritesPerSecond = 5
)

// newOrderLoop returns the loop that processes orders, or nil if the settings have
// no platform address or the upstream is not an engine.
func newOrderLoop(s *settings.Agent, logger zerolog.Logger) (agent.OrderLoop, error) {
	if s.Platform.Address == "" || contract.Kind(s.Kind) != contract.KindEngine {
		return nil, nil
	}
	client, err := storage.NewClient(storage.ClientConfig{
		BaseURL: "http://" + s.Platform.Address, Timeout: s.Platform.Timeout, Connections: 2,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	loop := order.NewLoop(order.Config{
		Location: order.Location{AgentID: s.Instance.ID, Service: s.Service, DataCentre: s.Instance.DataCentre},
		Table: storage.NewLimited(client, storage.LimitConfig{
			ReadsPerSecond: orderReadsPerSecond, WritesPerSecond: orderWritesPerSecond,
		}),
		Logger: logger,
	})
	return func(ctx context.Context, engine upstream.Engine, holder *contract.Holder, drainer agent.Drainer) error {
		defer client.Close()
		return loop.Run(ctx, engine, holder, drainer)
	}, nil
}

// Address returns the agent's IP:port.
func (d *Agent) Address() string { return d.listener.Addr().String() }

// Run serves until ctx ends, then drains the work in progress.
func (d *Agent) Run(ctx context.Context) error {
	if d.settings.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(d.settings.MemoryLimitMB) << 20 * memoryLimitPercent / 100)
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { return d.agent.Run(background) })
	group.Go(func() error { return serve(d.server, d.listener) })
	group.Go(func() error {
		select {
		case <-background.Done(): // another goroutine failed
		case <-ctx.Done():
			d.drain()
		}
		shutdown(d.server)
		stop()
		return nil
	})
	d.logger.Info().Str("address", d.Address()).Str("service", d.settings.Service).Msg("agent started")
	return trace.Wrap(group.Wait())
}

func (d *Agent) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainTimeout)
	defer cancel()
	start := time.Now()
	err := d.agent.Drain(ctx)
	d.logger.Info().Err(err).Dur("took", time.Since(start)).Msg("agent drained")
}
