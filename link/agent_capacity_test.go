package link

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/instance"
	"github.com/magnoliausher/magnoliausher/poison"
	"github.com/magnoliausher/magnoliausher/storage"
)

// BenchmarkAgentLinks measures the CPU time of one busy agent with links to
// several entries. It includes the 10 load changes per second of varyLoad.
func BenchmarkAgentLinks(b *testing.B) {
	for _, n := range []int{3, 6, 12, 24} {
		b.Run(fmt.Sprintf("links=%d", n), func(b *testing.B) {
			list, agent := startAgentProcess(b, 1, true)
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			entries := make([]*testEntry, n)
			for i := range entries {
				entries[i] = serveEntry(ctx, b, fmt.Sprintf("entry-mvd-a-%04d", i), list)
			}
			for _, e := range entries {
				eventually(b, "link open", func() bool { return connectedCount(e, "chat") == 1 })
			}
			time.Sleep(3 * time.Second)
			before, start := processCPUTime(b, agent), time.Now()
			time.Sleep(*capacityWindow)
			used := processCPUTime(b, agent) - before
			b.ReportMetric(float64(used.Microseconds())/time.Since(start).Seconds(), "agent-cpu-us/s")
		})
	}
}

// serveEntry runs an entry with links to the agents until ctx ends.
func serveEntry(ctx context.Context, b *testing.B, id string, agents []storage.Instance) *testEntry {
	e := &testEntry{holder: new(contract.Holder), suspects: poison.NewTable(poison.Config{}), members: instance.NewTable(instance.Config{})}
	e.holder.SetIfNewer(largeDocument(1, 3800))
	e.members.ApplyList(agents, 1, time.Now())
	e.EntryClient = NewEntryClient(EntryClientConfig{
		ID: id, DataCentre: "mvd-a", Incarnation: 9, Holder: e.holder,
		Suspects: e.suspects, Members: e.members, Logger: zerolog.Nop(), LinksPerService: len(agents),
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Serve(ctx)
	}()
	b.Cleanup(func() { <-done })
	return e
}
