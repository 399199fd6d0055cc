// Package link connects entries with agents: the control streams, the attempts
// that run over them, and what spreads along them (configuration, suspects,
// cancelled jobs, batch grants).
package link

import (
	"context"
	"errors"
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// ErrNoLink: no connection to that agent exists, so nothing was sent.
var ErrNoLink = errors.New("no link to the agent")

// Upstream is what an entry knows of one agent and the upstream beside it.
type Upstream struct {
	AgentID     string
	DataCentre  string
	Service     string
	Address     string // IP:port of the agent
	Incarnation uint64 // of the agent
	Connected   bool   // the control stream is open
	Leaving     bool
	LastHeard   time.Time // of the last message of any kind
	Load        *rpc.LoadReport
	LoadAt      time.Time // arrival of Load
	InProgress  int       // own online attempts in progress
	SentSince   int       // own online attempts sent since Load arrived
	Prefixes    map[uint64]struct{}
	Weight      float64 // 0 to 1; newcomers start low and get work slowly
}

// AgentTime estimates the agent's monotonic clock at now. The estimate is late
// by the age of the report on the wire, so tickets made from it end early.
func (u *Upstream) AgentTime(now time.Time) time.Duration {
	if u.Load == nil {
		return 0
	}
	return time.Duration(u.Load.AgentTimeMs)*time.Millisecond + now.Sub(u.LoadAt)
}

// Stream is one running attempt. Close cancels it if it has not ended.
type Stream interface {
	// Recv returns the next event, io.EOF after the last one, or an error when
	// the connection failed or made no progress.
	Recv() (*rpc.RunEvent, error)
	Close() error
}

// Runner is an entry's access to agents.
type Runner interface {
	// Upstreams returns what is known of the linked agents of a service. The
	// values are copies; Load and Prefixes must not be changed.
	Upstreams(service string) []Upstream
	// Run starts one attempt. Online and batch attempts use separate connections.
	// ErrNoLink means that nothing was sent; with any other error the attempt may run.
	Run(ctx context.Context, agentID string, req *rpc.RunRequest) (Stream, error)
	// Probe makes sure that the agent answers now.
	Probe(ctx context.Context, agentID string) error
}

// SubsetReporter is implemented by a Runner that links to a part of the agents
// and can link to more.
type SubsetReporter interface {
	// SubsetRefused tells that all linked agents of a service refuse work or are lost.
	SubsetRefused(service string)
}

// Grant is an agent's permission to start batch attempts.
type Grant struct {
	AgentID string
	Service string
	Items   int
	Until   time.Time
}

// Demand is the batch work that an entry holds for a service.
type Demand struct {
	Items       int
	EarliestDue time.Time
}

// BatchCoordinator joins an entry's batch runner with the control streams.
type BatchCoordinator interface {
	// SetDemand announces the batch work held for a service to its agents.
	SetDemand(service string, d Demand)
	// Grants delivers the agents' permissions. Unused ones lapse.
	Grants() <-chan Grant
	// AnnounceCancelled spreads the id of a cancelled job to all processes.
	AnnounceCancelled(jobID string)
	// Cancelled delivers ids of cancelled jobs that other processes announced.
	Cancelled() <-chan string
}

// Fleet is what operators see of the configuration's spread.
type Fleet interface {
	// Versions returns the last known configuration version per instance.
	Versions() []InstanceVersion
	// Config returns the process's configuration.
	Config() *contract.Holder
}

// InstanceVersion is the configuration version last heard of an instance.
type InstanceVersion struct {
	InstanceID string    `json:"instance_id"`
	Version    uint64    `json:"version"`
	HeardAt    time.Time `json:"heard_at"` // zero when never heard
}
