// Package link connects entries to agents. A link is one control stream and
// the connections of online and batch attempts. Control streams also propagate
// the configuration, suspects, cancelled jobs and batch grants.
package link

import (
	"context"
	"errors"
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// ErrNoLink means that there is no connection to the agent and nothing was
// sent.
var ErrNoLink = errors.New("no link to the agent")

// Upstream is an entry's view of one agent and of the upstream beside it.
type Upstream struct {
	AgentID     string
	DataCentre  string
	Service     string
	Address     string // IP:port of the agent
	Incarnation uint64 // of the agent
	Connected   bool   // the control stream is open
	Leaving     bool
	LastHeard   time.Time // arrival of the last message of any kind
	Load        *rpc.LoadReport
	LoadAt      time.Time // arrival of Load
	InProgress  int       // this entry's online attempts in progress
	SentSince   int       // online attempts that this entry sent since Load arrived
	Prefixes    map[uint64]struct{}
	Weight      float64 // 0 to 1; low for new instances, so that their share of the work ramps up
}

// AgentTime estimates the agent's monotonic clock at now. The estimate lags by
// the report's network delay, so tickets derived from it expire early.
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

// Runner runs attempts at agents.
type Runner interface {
	// Upstreams returns the state of the linked agents of a service. The
	// values are copies, but Load and Prefixes are shared and must not be
	// modified.
	Upstreams(service string) []Upstream
	// Run starts one attempt. Online and batch attempts use separate
	// connections. ErrNoLink means that nothing was sent; after any other
	// error the attempt may have been executed.
	Run(ctx context.Context, agentID string, req *rpc.RunRequest) (Stream, error)
	// Probe checks that the agent responds.
	Probe(ctx context.Context, agentID string) error
}

// SubsetReporter is implemented by a Runner that links to a subset of the
// agents and can expand it.
type SubsetReporter interface {
	// SubsetRefused reports that all linked agents of a service refuse work or
	// are lost.
	SubsetRefused(service string)
}

// Grant is an agent's permission to start batch attempts.
type Grant struct {
	AgentID string
	Service string
	Items   int
	Until   time.Time
}

// Demand is the batch work pending at an entry for one service.
type Demand struct {
	Items       int
	EarliestDue time.Time
}

// BatchCoordinator connects an entry's batch runner to the control streams.
type BatchCoordinator interface {
	// SetDemand announces the pending batch work of a service to its agents.
	SetDemand(service string, d Demand)
	// Grants delivers the agents' grants. Unused grants expire.
	Grants() <-chan Grant
	// AnnounceCancelled propagates the id of a cancelled job to all entries
	// and agents.
	AnnounceCancelled(jobID string)
	// Cancelled delivers the ids of cancelled jobs that other instances
	// announced.
	Cancelled() <-chan string
}

// Fleet provides the operator API with the configuration versions of all instances and
// with the configuration of this one.
type Fleet interface {
	// Versions returns the last known configuration version of each instance.
	Versions() []InstanceVersion
	// Config returns the holder of this instance's configuration.
	Config() *contract.Holder
}

// InstanceVersion is the last known configuration version of an instance.
type InstanceVersion struct {
	InstanceID string    `json:"instance_id"`
	Version    uint64    `json:"version"`
	HeardAt    time.Time `json:"heard_at"` // zero if no version is known
}
