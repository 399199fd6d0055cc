package link

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/instance"
	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/poison"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/storage"
	"github.com/rs/zerolog"
)

// Environment variables of the child process that runs the agents. The agents
// run there, so that the CPU time and memory of the entry are measured alone.
const (
	childAgentsEnv = "LINK_BENCH_AGENTS"
	childBusyEnv   = "LINK_BENCH_BUSY"
)

// capacityWindow is the length of one measurement. Each busy one includes a
// configuration change; with the default that is three times the rate at the
// target size.
var capacityWindow = flag.Duration("link.window", 20*time.Second, "length of one measurement of BenchmarkLinks")

// Serves agents for BenchmarkLinks in the child process. Guards against
// benchmark agents that start without the large configuration. When run
// directly it starts one agent and ends.
func TestCapacityChild(t *testing.T) {
	n, child := 1, os.Getenv(childAgentsEnv)
	if child != "" {
		if _, err := fmt.Sscan(child, &n); err != nil {
			t.Fatal(err)
		}
	}
	var list []storage.Instance
	for i := range n {
		a := startAgent(t, fmt.Sprintf("agent-chat-mvd-a-%04d", i), "chat", nil)
		list = append(list, a.instance)
		a.holder.SetIfNewer(largeDocument(1, 3800))
		if a.holder.Version() != 1 || a.instance.Address == "" {
			t.Fatalf("agent at %q holds version %d", a.instance.Address, a.holder.Version())
		}
		a.setLoad(func(l *rpc.LoadReport) { l.AgentTimeMs = 80_000_000 }) // one day, so that it has a realistic length on the wire
		if os.Getenv(childBusyEnv) != "" {
			go varyLoad(t.Context(), a)
		}
	}
	line, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	if child == "" {
		return
	}
	fmt.Println(string(line))
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n') // blocks until the parent closes stdin
}

// varyLoad changes an agent's load like 5 online requests/s of about 6 s each,
// with a changing prefix list and versions of other instances to propagate.
func varyLoad(ctx context.Context, a *testAgent) {
	random := rand.New(rand.NewPCG(uint64(len(a.instance.ID)), rand.Uint64()))
	began := time.Now()
	for step := uint64(1); ctx.Err() == nil; step++ {
		pause.For(ctx, 100*time.Millisecond)
		a.setLoad(func(l *rpc.LoadReport) {
			l.AgentTimeMs = uint64(time.Since(began).Milliseconds()) + 80_000_000
			l.OnlineActive = uint32(min(60, max(0, int(l.OnlineActive)+random.IntN(5)-2)))
			l.BatchActive = uint32(min(64-int(l.OnlineActive), max(0, int(l.BatchActive)+random.IntN(5)-2)))
			l.TokenIntervalUs = uint32(30_000 + random.IntN(4000))
			l.PromptTokensQueued = uint64(random.IntN(8000))
			l.CacheSequence = step
			if step%10 == 0 {
				kept := l.CachedPrefixes
				l.CachedPrefixes = append(kept[max(0, len(kept)-200):len(kept):len(kept)], random.Uint64())
			}
		})
		if step%10 == 0 {
			id := fmt.Sprintf("agent-other-mvd-b-%04d", random.IntN(2700))
			a.gossip.recordVersion(id, step, time.Now(), "elsewhere")
		}
	}
}

// sample holds the counters of the entry's process at one point in time.
type sample struct {
	bytes, messages, segments int64
	cpu, agentCPU             time.Duration
}

func takeSample(tb testing.TB, e *testEntry, segments *segmentCounter, agents int) sample {
	s := sample{segments: segments.total(tb), agentCPU: processCPUTime(tb, agents)}
	for _, l := range e.linksOf("chat") {
		l.mu.Lock()
		count := l.clients[classControl].stats
		p := l.peer
		l.mu.Unlock()
		s.bytes += count.read.Load() + count.written.Load()
		p.mu.Lock()
		s.messages += int64(p.inSequence + p.outSequence)
		p.mu.Unlock()
	}
	s.cpu = selfCPUTime(tb)
	return s
}

// liveMemory returns the bytes of heap and stacks. Two collections empty the
// buffer pools, which would otherwise hold memory of the previous measurement.
func liveMemory() int64 {
	debug.FreeOSMemory()
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// startAgentProcess starts the agents in a child process and returns their
// instances and the process id.
func startAgentProcess(b *testing.B, n int, busy bool) ([]storage.Instance, int) {
	command := exec.Command(os.Args[0], "-test.run=^TestCapacityChild$", "-test.timeout=0")
	command.Env = append(os.Environ(), fmt.Sprintf("%s=%d", childAgentsEnv, n))
	if busy {
		command.Env = append(command.Env, childBusyEnv+"=1")
	}
	input, err := command.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err = command.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = input.Close()
		_ = command.Wait()
	})
	line, err := bufio.NewReader(output).ReadBytes('\n')
	if err != nil {
		b.Fatal(err)
	}
	var list []storage.Instance
	if err := json.Unmarshal(line, &list); err != nil {
		b.Fatal(err)
	}
	return list, command.Process.Pid
}

func measureLinks(b *testing.B, n int, busy bool) measurement {
	list, agents := startAgentProcess(b, n, busy)
	segments := new(segmentCounter)
	e := &testEntry{holder: new(contract.Holder), suspects: poison.NewTable(poison.Config{}), members: instance.NewTable(instance.Config{})}
	e.holder.SetIfNewer(largeDocument(1, 3800))
	e.members.ApplyList(list, 1, time.Now())
	before := liveMemory()
	e.EntryClient = NewEntryClient(EntryClientConfig{
		ID: "entry-mvd-a-0001", DataCentre: "mvd-a", Incarnation: 9, Holder: e.holder,
		Suspects: e.suspects, Members: e.members, Logger: zerolog.Nop(), LinksPerService: n, dial: segments.dial,
	})
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Serve(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	eventually(b, "links open", func() bool { return connectedCount(e, "chat") == n })
	time.Sleep(3 * time.Second)
	first := takeSample(b, e, segments, agents)
	start := time.Now()
	time.Sleep(*capacityWindow / 2)
	if busy {
		e.holder.SetIfNewer(largeDocument(2, 3800))
		e.SetDemand("chat", Demand{Items: 100, EarliestDue: time.Now().Add(time.Hour)})
	}
	time.Sleep(*capacityWindow / 2)
	seconds := time.Since(start).Seconds()
	last := takeSample(b, e, segments, agents)
	m := measurement{
		links:      float64(n),
		bytes:      float64(last.bytes-first.bytes) / seconds,
		segments:   float64(last.segments-first.segments) / seconds,
		cpuMicros:  float64((last.cpu - first.cpu).Microseconds()) / seconds,
		agentCPU:   float64((last.agentCPU - first.agentCPU).Microseconds()) / seconds,
		controlKiB: float64(liveMemory()-before) / 1024,
	}
	messages := float64(last.messages-first.messages) / seconds
	for _, in := range list {
		if err := e.Probe(ctx, in.ID); err != nil {
			b.Error(err)
		}
	}
	m.onlineKiB = float64(liveMemory()-before) / 1024
	b.ReportMetric(m.bytes/m.links, "B/s/link")
	b.ReportMetric(m.wireBytes()/m.links, "wire-B/s/link")
	b.ReportMetric(m.segments/m.links, "seg/s/link")
	b.ReportMetric(messages/m.links, "msg/s/link")
	b.ReportMetric(m.agentCPU/m.links, "agent-cpu-us/s/link")
	b.ReportMetric(m.cpuMicros/messages, "cpu-us/msg")
	b.ReportMetric(m.cpuMicros/1e4, "core-%")
	b.ReportMetric(m.controlKiB/m.links, "KiB/link")
	b.ReportMetric(m.onlineKiB/m.links, "KiB/link+online")
	return m
}

// measurement is the cost of one entry with a number of links.
type measurement struct {
	links                 float64
	bytes, cpuMicros      float64 // per second
	segments, agentCPU    float64 // per second; agentCPU in microseconds, of all agents
	controlKiB, onlineKiB float64 // with control streams only; with online connections as well
}

// wireBytes returns the bytes per second including packet headers.
func (m measurement) wireBytes() float64 { return m.bytes + segmentHeaderBytes*m.segments }

// fitLine returns the least-squares line of a cost over the number of links,
// and its coefficient of determination.
func fitLine(list []measurement, cost func(measurement) float64) (base, slope, r2 float64) {
	var n, sumX, sumY, sumXX, sumXY, sumYY float64
	for _, m := range list {
		x, y := m.links, cost(m)
		n++
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
		sumYY += y * y
	}
	varianceX, covariance, varianceY := n*sumXX-sumX*sumX, n*sumXY-sumX*sumY, n*sumYY-sumY*sumY
	slope = covariance / varianceX
	return (sumY - slope*sumX) / n, slope, covariance * covariance / (varianceX * varianceY)
}

// BenchmarkLinks measures the cost of control streams per link, for
// docs/CAPACITY.md. Bytes are those of the TCP payload in both directions,
// measured at the entry; wire bytes add the headers of all segments, including
// pure acknowledgements.
func BenchmarkLinks(b *testing.B) {
	for _, busy := range []bool{false, true} {
		var list []measurement
		for _, n := range []int{10, 30, 100, 300} {
			b.Run(fmt.Sprintf("busy=%v/links=%d", busy, n), func(b *testing.B) {
				list = append(list, measureLinks(b, n, busy))
			})
		}
		if len(list) > 1 {
			printSlopes(busy, list)
		}
	}
}

func printSlopes(busy bool, list []measurement) {
	costs := []struct {
		name string
		of   func(measurement) float64
	}{
		{"bytes/s", func(m measurement) float64 { return m.bytes }},
		{"segments/s", func(m measurement) float64 { return m.segments }},
		{"bytes/s with headers", measurement.wireBytes},
		{"agents' cpu us/s", func(m measurement) float64 { return m.agentCPU }},
		{"cpu us/s", func(m measurement) float64 { return m.cpuMicros }},
		{"KiB control", func(m measurement) float64 { return m.controlKiB }},
		{"KiB control and online", func(m measurement) float64 { return m.onlineKiB }},
	}
	for _, c := range costs {
		base, slope, r2 := fitLine(list, c.of)
		fmt.Printf("slope busy=%v %s: %.1f + %.2f per link, r2 %.4f; at 96 links %.0f\n", busy, c.name, base, slope, r2, base+96*slope)
	}
}
