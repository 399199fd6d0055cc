package agent

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/magnoliausher/magnoliausher/link"
	"github.com/magnoliausher/magnoliausher/poison"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// ControlDeps contains what the control streams need from the agent.
type ControlDeps struct {
	Incarnation uint64
	Load        func() *rpc.LoadReport // safe for concurrent use; must not acquire locks of the Control
}

// Control is the agent's end of the control streams.
type Control interface {
	Control(context.Context, *connect.BidiStream[rpc.ControlMessage, rpc.ControlMessage]) error
	FetchConfig(context.Context, *connect.Request[rpc.FetchConfigRequest]) (*connect.Response[rpc.FetchConfigResponse], error)
	LoadChanged()
	SetLeaving()
	DemandChanged() <-chan struct{}
	Demands() []link.EntryDemand
	// Grant sends a grant and reports whether the entry is still connected.
	Grant(entryID string, items int, valid time.Duration) bool
	CancelledJobs() <-chan string
}

// piggybackLoader is implemented by Controls that track when an entry last
// received a load report. Without it, each attempt's stream gets its own reports.
type piggybackLoader interface {
	// PiggybackLoad returns the report for the next event to an entry, or nil when
	// none is due.
	PiggybackLoad(entryID string) *rpc.LoadReport
}

// SuspectTable records crashes and the requests suspected of causing them.
type SuspectTable interface {
	RecordCrash(crashID uint64, fingerprints []uint64, now time.Time) []uint64
	// RecordSound records that the upstream answers a request without crashing.
	RecordSound(s *poison.Subject, now time.Time)
	Status(fingerprint uint64, now time.Time) poison.Status
}

type noSuspects struct{}

func (noSuspects) RecordCrash(uint64, []uint64, time.Time) []uint64 { return nil }
func (noSuspects) RecordSound(*poison.Subject, time.Time)           {}
func (noSuspects) Status(uint64, time.Time) poison.Status           { return poison.Clear }
