// Package demo runs the whole system in one process: entries, agents, and
// simulated engines, plain services and platform, all on loopback.
package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/daemon"
	"github.com/magnoliausher/magnoliausher/settings"
	"github.com/magnoliausher/magnoliausher/standin/engine"
	standin "github.com/magnoliausher/magnoliausher/standin/platform"
	"github.com/magnoliausher/magnoliausher/standin/service"
	"github.com/magnoliausher/magnoliausher/storage"
)

const (
	loopback            = "127.0.0.1:0"
	instanceListLag     = 2 * time.Second // delay of the platform's instance list
	drainTimeout        = 10 * time.Second
	poisonMarker        = "crash-the-engine"
	restartDelay        = 3 * time.Second
	plainSlots          = 64
	healthInterval      = 250 * time.Millisecond
	platformTimeout     = 2 * time.Second
	versionPollInterval = 2 * time.Millisecond
)

// FleetConfig describes a fleet on loopback.
type FleetConfig struct {
	Document *contract.Document  // its groups define the upstreams; must include the callers
	Listen   string              // address of the first entry; if empty, any free port on loopback
	Entries  int                 // number of entries, assigned to the data centres in turn
	Weights  *engine.WeightStore // shared by the engines; if nil, models load immediately
	Logger   zerolog.Logger
}

// EngineNode is one simulated engine with its agent.
type EngineNode struct {
	AgentID    string
	DataCentre string
	Service    string
	Engine     *engine.Server
	cancel     context.CancelFunc // stops the agent, as the loss of its instance would
}

// Fleet is a running set of entries, agents, simulated upstreams and a simulated
// platform.
type Fleet struct {
	Platform *standin.Platform
	Engines  []EngineNode
	Services []*service.Server
	Entries  []*daemon.Entry
	Agents   []*daemon.Agent

	config          FleetConfig
	group           *errgroup.Group
	dataCentres     []string
	platformAddress string
}

// Start starts a fleet that runs until ctx ends. Wait returns then.
func Start(ctx context.Context, config FleetConfig) (*Fleet, error) {
	group, ctx := errgroup.WithContext(ctx)
	f := &Fleet{
		Platform: standin.New(standin.Config{
			ReadsPerSecond:  standin.NominalReadsPerSecond,
			WritesPerSecond: standin.NominalWritesPerSecond,
		}),
		config: config,
		group:  group,
	}
	if err := f.acceptConfig(ctx); err != nil {
		return nil, err
	}
	address, err := f.serveHTTP(ctx, f.Platform.Handler())
	if err != nil {
		return nil, err
	}
	f.platformAddress = address
	for _, g := range config.Document.Groups {
		if err := f.startGroup(ctx, g); err != nil {
			return nil, err
		}
	}
	for i := range config.Entries {
		if err := f.startEntry(ctx, i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// acceptConfig makes the document the accepted configuration, as an operator's
// change would.
func (f *Fleet) acceptConfig(ctx context.Context) error {
	_, err := contract.NewStore(f.Platform).Accept(ctx, 0, f.config.Document)
	return trace.Wrap(err)
}

// Wait returns when the fleet has ended.
func (f *Fleet) Wait() error { return trace.Wrap(f.group.Wait()) }

func (f *Fleet) startGroup(ctx context.Context, g contract.UpstreamGroup) error {
	svc := contract.NewIndex(f.config.Document).Service(g.Service)
	f.addDataCentre(g.DataCentre)
	for i := range g.Count {
		id := fmt.Sprintf("%s-%d", g.Name, i+1)
		if err := f.startUpstream(ctx, id, g, svc); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) addDataCentre(name string) {
	for _, existing := range f.dataCentres {
		if existing == name {
			return
		}
	}
	f.dataCentres = append(f.dataCentres, name)
}

func (f *Fleet) startUpstream(ctx context.Context, id string, g contract.UpstreamGroup, svc *contract.Service) error {
	if svc.Kind == contract.KindPlain {
		s := service.New()
		f.Services = append(f.Services, s)
		address, err := f.serveHTTP(ctx, s.Handler())
		if err != nil {
			return err
		}
		_, err = f.startAgent(ctx, id, g, svc, address, plainSlots)
		return err
	}
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return trace.Wrap(err)
	}
	e := engine.New(engine.Config{
		PoisonMarker: poisonMarker,
		RestartDelay: restartDelay,
		CheckFencing: g.ChecksFencing,
		Weights:      f.config.Weights,
		State: engine.State{ // as configured, so that the engine needs no order at the start
			Model: svc.Model, Version: svc.ModelVersion, Adapter: svc.Adapter, Role: g.Role,
		},
	})
	f.group.Go(func() error { return trace.Wrap(e.Serve(ctx, l)) })
	cancel, err := f.startAgent(ctx, id, g, svc, l.Addr().String(), engine.Slots)
	if err != nil {
		return err
	}
	f.Engines = append(f.Engines, EngineNode{
		AgentID: id, DataCentre: g.DataCentre, Service: svc.Name, Engine: e, cancel: cancel,
	})
	return nil
}

func (f *Fleet) startAgent(ctx context.Context, id string, g contract.UpstreamGroup, svc *contract.Service, address string, slots int) (context.CancelFunc, error) {
	s := &settings.Agent{
		Instance:        settings.Instance{Role: settings.RoleAgent, ID: id, DataCentre: g.DataCentre, Listen: loopback},
		Platform:        settings.Platform{Address: f.platformAddress, Timeout: platformTimeout},
		UpstreamAddress: address,
		Service:         svc.Name,
		Kind:            string(svc.Kind),
		Slots:           slots,
		QueueLength:     256,
		DrainTimeout:    drainTimeout,
		ProgressTimeout: 5 * time.Second,
		HealthInterval:  healthInterval,
	}
	a, err := daemon.NewAgent(s, f.config.Logger.With().Str("instance", id).Logger())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f.Platform.SetInstance(storage.Instance{
		ID: id, Role: storage.RoleAgent, DataCentre: g.DataCentre,
		Address: a.Address(), Service: svc.Name, State: storage.InstanceLive,
	})
	f.Agents = append(f.Agents, a)
	ctx, cancel := context.WithCancel(ctx)
	f.group.Go(func() error { return a.Run(ctx) })
	return cancel, nil
}

func (f *Fleet) startEntry(ctx context.Context, i int) error {
	id := fmt.Sprintf("entry-%d", i+1)
	listen := loopback
	if i == 0 && f.config.Listen != "" {
		listen = f.config.Listen
	}
	text := fmt.Sprintf("[instance]\nrole=entry\nid=%s\ndata_centre=%s\nlisten=%s\npeer_listen=%s\n[platform]\naddress=%s\n[timeouts]\ndrain=%s\n",
		id, f.dataCentres[i%len(f.dataCentres)], listen, loopback, f.platformAddress, drainTimeout)
	s, err := settings.ParseEntry(id, []byte(text))
	if err != nil {
		return err
	}
	e, err := daemon.NewEntry(s, f.config.Logger.With().Str("instance", id).Logger())
	if err != nil {
		return trace.Wrap(err)
	}
	f.Platform.SetInstance(storage.Instance{
		ID: id, Role: storage.RoleEntry, DataCentre: s.Instance.DataCentre,
		Address: e.PeerAddress(), State: storage.InstanceLive,
	})
	f.Entries = append(f.Entries, e)
	f.group.Go(func() error { return e.Run(ctx) })
	return nil
}

// serveHTTP serves a simulated component on a free port until ctx ends.
func (f *Fleet) serveHTTP(ctx context.Context, h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", trace.Wrap(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: drainTimeout}
	f.group.Go(func() error {
		if err := server.Serve(l); err != http.ErrServerClosed {
			return trace.Wrap(err)
		}
		return nil
	})
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// WaitVersion returns when all entries and agents have at least the given
// configuration version.
func (f *Fleet) WaitVersion(ctx context.Context, version uint64) error {
	ticker := time.NewTicker(versionPollInterval)
	defer ticker.Stop()
	for {
		behind := f.countBehind(version)
		if behind == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "%d instances are below version %d", behind, version)
		case <-ticker.C:
		}
	}
}

// countBehind counts the entries and agents below a configuration version.
func (f *Fleet) countBehind(version uint64) int {
	behind := 0
	for _, e := range f.Entries {
		if e.ConfigVersion() < version {
			behind++
		}
	}
	for _, a := range f.Agents {
		if a.ConfigVersion() < version {
			behind++
		}
	}
	return behind
}

// WaitReady returns when all entries are ready and have a link to an upstream
// of each service.
func (f *Fleet) WaitReady(ctx context.Context) error {
	defer f.Platform.SetInstanceLag(instanceListLag) // without delay until then, so that the list is complete at the start
	for _, e := range f.Entries {
		for !e.Ready() {
			select {
			case <-ctx.Done():
				return trace.Wrap(ctx.Err(), "entry at %s is not ready", e.Address())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}
