package link

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/instance"
	"github.com/magnoliausher/magnoliausher/platform"
	"github.com/magnoliausher/magnoliausher/poison"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/rs/zerolog"
)

// The environment of the child process that serves the agents, so that the
// entry's processor time and memory are measured alone.
const (
	childAgents = "LINK_BENCH_AGENTS"
	childBusy   = "LINK_BENCH_BUSY"
)

// capacityWindow is the length of one measurement; a configuration change
// falls into each busy one, three times the target's rate.
const capacityWindow = 20 * time.Second

// Serves agents for BenchmarkLinks in the child process; otherwise does nothing.
func TestCapacityChild(t *testing.T) {
	var n int
	if _, err := fmt.Sscan(os.Getenv(childAgents), &n); err != nil {
		t.Skip("only as the child of BenchmarkLinks")
	}
	var list []platform.Instance
	for i := range n {
		a := startAgent(t, fmt.Sprintf("agent-chat-mvd-a-%04d", i), "chat", nil)
		list = append(list, a.instance)
		a.holder.Offer(largeDocument(1, 3800))
		a.setLoad(func(l *rpc.LoadReport) { l.AgentTimeMs = 80_000_000 }) // one day, for its length on the wire
		if os.Getenv(childBusy) != "" {
			go vary(t.Context(), a)
		}
	}
	line, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println(string(line))
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n') // until the parent closes it
}

// vary changes an agent's load as 5 online requests/s of about 6 s each do,
// with a changing prefix list and versions of other instances to pass on.
func vary(ctx context.Context, a *testAgent) {
	random := rand.New(rand.NewPCG(uint64(len(a.instance.ID)), rand.Uint64()))
	began := time.Now()
	for step := uint64(1); ctx.Err() == nil; step++ {
		sleep(ctx, 100*time.Millisecond)
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
			a.spread.noteVersion(id, step, time.Now(), "elsewhere")
		}
	}
}

// sample is the state of the entry's process at one time.
type sample struct {
	bytes, messages int64
	cpu             time.Duration
}

func takeSample(tb testing.TB, e *testEntry) sample {
	var s sample
	for _, l := range e.linksOf("chat") {
		l.mu.Lock()
		count := l.clients[classControl].traffic
		p := l.peer
		l.mu.Unlock()
		s.bytes += count.read.Load() + count.written.Load()
		p.mu.Lock()
		s.messages += int64(p.inSequence + p.outSequence)
		p.mu.Unlock()
	}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	s.cpu = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return s
}

// liveMemory returns the bytes of heap and stacks. Two collections empty the
// pools of buffers, which else hold memory of the previous measurement.
func liveMemory() int64 {
	debug.FreeOSMemory()
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// startChild starts the agents and returns their instances.
func startChild(b *testing.B, n int, busy bool) []platform.Instance {
	command := exec.Command(os.Args[0], "-test.run=^TestCapacityChild$", "-test.timeout=0")
	command.Env = append(os.Environ(), fmt.Sprintf("%s=%d", childAgents, n))
	if busy {
		command.Env = append(command.Env, childBusy+"=1")
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
	var list []platform.Instance
	if err := json.Unmarshal(line, &list); err != nil {
		b.Fatal(err)
	}
	return list
}

func measureLinks(b *testing.B, n int, busy bool) measurement {
	list := startChild(b, n, busy)
	e := &testEntry{holder: new(contract.Holder), suspects: poison.NewTable(poison.Config{}), members: instance.NewTable(instance.Config{})}
	e.holder.Offer(largeDocument(1, 3800))
	e.members.ApplyList(list, 1, time.Now())
	before := liveMemory()
	e.EntrySide = NewEntrySide(EntrySideConfig{
		ID: "entry-mvd-a-0001", DataCentre: "mvd-a", Incarnation: 9, Holder: e.holder,
		Suspects: e.suspects, Members: e.members, Logger: zerolog.Nop(), LinksPerService: n,
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
	first := takeSample(b, e)
	start := time.Now()
	time.Sleep(capacityWindow / 2)
	if busy {
		e.holder.Offer(largeDocument(2, 3800))
		e.SetDemand("chat", Demand{Items: 100, EarliestDue: time.Now().Add(time.Hour)})
	}
	time.Sleep(capacityWindow / 2)
	seconds := time.Since(start).Seconds()
	last := takeSample(b, e)
	m := measurement{
		links:      float64(n),
		bytes:      float64(last.bytes-first.bytes) / seconds,
		cpuMicros:  float64((last.cpu - first.cpu).Microseconds()) / seconds,
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
	b.ReportMetric(messages/m.links, "msg/s/link")
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
	controlKiB, onlineKiB float64 // with the control streams; also with online connections
}

// fit returns the least-squares line of a cost over the number of links.
func fit(list []measurement, cost func(measurement) float64) (base, slope float64) {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, m := range list {
		x, y := m.links, cost(m)
		n++
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return (sumY - slope*sumX) / n, slope
}

// The cost of control streams per link, for docs/CAPACITY.md. Bytes are those
// of the TCP payload in both directions, measured at the entry.
func BenchmarkLinks(b *testing.B) {
	for _, busy := range []bool{false, true} {
		var list []measurement
		for _, n := range []int{10, 30, 100, 300} {
			b.Run(fmt.Sprintf("busy=%v/links=%d", busy, n), func(b *testing.B) {
				list = append(list, measureLinks(b, n, busy))
			})
		}
		printSlopes(busy, list)
	}
}

func printSlopes(busy bool, list []measurement) {
	costs := []struct {
		name string
		of   func(measurement) float64
	}{
		{"bytes/s", func(m measurement) float64 { return m.bytes }},
		{"cpu us/s", func(m measurement) float64 { return m.cpuMicros }},
		{"KiB control", func(m measurement) float64 { return m.controlKiB }},
		{"KiB control and online", func(m measurement) float64 { return m.onlineKiB }},
	}
	for _, c := range costs {
		base, slope := fit(list, c.of)
		fmt.Printf("slope busy=%v %s: %.1f + %.2f per link; at 96 links %.0f\n", busy, c.name, base, slope, base+96*slope)
	}
}
