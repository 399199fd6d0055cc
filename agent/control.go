package agent

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/magnoliausher/magnoliausher/link"
	"github.com/magnoliausher/magnoliausher/poison"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// ControlDeps is what the control streams need from the agent.
type ControlDeps struct {
	Incarnation uint64
	Load        func() *rpc.LoadReport // safe for concurrent use; holds no lock of the control side
}

// Control is the agent's end of the control streams.
type Control interface {
	Control(context.Context, *connect.BidiStream[rpc.ControlMessage, rpc.ControlMessage]) error
	FetchConfig(context.Context, *connect.Request[rpc.FetchConfigRequest]) (*connect.Response[rpc.FetchConfigResponse], error)
	LoadChanged()
	SetLeaving()
	DemandChanged() <-chan struct{}
	Demands() []link.EntryDemand
	// Grant reports whether the entry is still connected.
	Grant(entryID string, items int, valid time.Duration) bool
	CancelledJobs() <-chan string
}

// ridingLoader is implemented by control sides that know when an entry last
// got a report. Without it, each stream of attempts gets its own.
type ridingLoader interface {
	// PiggybackLoad returns the report for the next event to an entry, or nil when
	// none is due.
	PiggybackLoad(entryID string) *rpc.LoadReport
}

// SuspectTable is the merged knowledge of crashes.
type SuspectTable interface {
	RecordCrash(crashID uint64, fingerprints []uint64, now time.Time)
	Status(fingerprint uint64, now time.Time) poison.Status
}

type noSuspects struct{}

func (noSuspects) RecordCrash(uint64, []uint64, time.Time) {}
func (noSuspects) Status(uint64, time.Time) poison.Status  { return poison.Clear }
