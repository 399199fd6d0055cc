package daemon

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/platform/platformtest"
	"github.com/magnoliausher/magnoliausher/poison"
)

const (
	deadlyPart = "dead0000"
	// contactTime is the users' bound on the time within which gateways learn of each
	// other's crashes, and maxRunsAfterwards the requests with a deadly part that may
	// still reach upstreams after five crashes and that time.
	contactTime       = 3 * time.Second
	crashesTolerated  = 5
	maxRunsAfterwards = 3
)

// promptResult is the outcome of one request with the given parts in its prompt.
type promptResult struct {
	id     string
	sentAt time.Time
	status int
	served bool
}

func (g *runningGateway) sendPrompt(parts ...string) promptResult {
	return g.sendPromptTo("/ask/x", parts...)
}

func (g *runningGateway) sendPromptTo(path string, parts ...string) promptResult {
	r := promptResult{id: nextID(), sentAt: time.Now()}
	request, err := http.NewRequest(http.MethodPost, "http://"+g.settings.Instance.Listen+path, strings.NewReader("prompt of "+r.id))
	if err != nil {
		return r
	}
	platformtest.PrepareRequest(request, r.id, "h", 5000)
	platformtest.SetPromptParts(request, append(parts, "own"+r.id)...)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return r
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	r.status, r.served = response.StatusCode, err == nil && string(body) == expectedStream(r.id, 5)
	return r
}

// promptLoad sends prompts to all gateways in turn until it is stopped.
type promptLoad struct {
	mu      sync.Mutex
	results []promptResult
	senders sync.WaitGroup
	stop    chan struct{}
}

func (l *promptLoad) start(d *deployment, interval time.Duration, parts func(n int) []string) {
	l.senders.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-l.stop:
				return
			case <-ticker.C:
			}
			l.senders.Go(func() {
				r := d.gateways[n%len(d.gateways)].sendPrompt(parts(n)...)
				l.mu.Lock()
				defer l.mu.Unlock()
				l.results = append(l.results, r)
			})
		}
	})
}

// crashTimes returns the times of all engines' crashes in order.
func (d *deployment) crashTimes() []time.Time {
	var all []time.Time
	for _, e := range d.engines {
		all = append(all, e.Crashes()...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

func (d *deployment) runsOf(id string) int {
	runs := 0
	for _, e := range d.engines {
		runs += e.Runs(id)
	}
	return runs
}

// Guards against a part of prompts that crashes one engine after the other because no
// two requests with it are alike.
func TestPartThatCrashesEnginesIsBlocked(t *testing.T) {
	d := newDeployment(t, 3)
	for _, e := range d.engines {
		e.DeadlyPart, e.RestartDelay, e.Store, e.Interval = deadlyPart, 400*time.Millisecond, d.store, 15*time.Millisecond
	}
	sound, deadly := &promptLoad{stop: make(chan struct{})}, &promptLoad{stop: make(chan struct{})}
	sound.start(d, 40*time.Millisecond, func(n int) []string { return []string{"f1", fmt.Sprint("aa", n%5)} })
	time.Sleep(500 * time.Millisecond)
	deadly.start(d, 130*time.Millisecond, func(n int) []string { return []string{"f1", fmt.Sprint("aa", n%5), deadlyPart} })
	time.Sleep(13500 * time.Millisecond)
	for _, l := range []*promptLoad{deadly, sound} {
		close(l.stop)
		l.senders.Wait()
	}
	crashes := d.crashTimes()
	if len(crashes) == 0 {
		t.Fatal("no crash")
	}
	last := crashes[min(crashesTolerated, len(crashes))-1]
	reached, rejected := 0, 0
	for _, r := range deadly.results {
		if r.sentAt.After(last.Add(contactTime)) && d.runsOf(r.id) > 0 {
			reached++
		}
		if d.runsOf(r.id) == 0 && r.status == http.StatusServiceUnavailable {
			rejected++
		}
	}
	late, served := 0, 0
	for _, r := range sound.results {
		if r.sentAt.After(last.Add(2 * contactTime)) {
			late++
			if r.served {
				served++
			}
		}
	}
	t.Logf("%d crashes; %d of %d requests with the part rejected, %d ran late; %d of %d sound requests served late",
		len(crashes), rejected, len(deadly.results), reached, served, late)
	if reached > maxRunsAfterwards {
		t.Errorf("%d requests with the part reached engines after %d crashes and %v, want at most %d", reached, crashesTolerated, contactTime, maxRunsAfterwards)
	}
	if late < 20 || served < late*9/10 {
		t.Errorf("%d of %d sound requests with the same first part were served", served, late)
	}
}

// Guards against a block that is lost when all gateways restart at once.
func TestBlockSurvivesRestartOfAllGateways(t *testing.T) {
	d := newDeployment(t, 2)
	part := poison.NewPart("llm", deadlyPart)
	for id := range uint64(crashesToBlock) {
		d.gateways[id%2].suspects.RecordCrash(id+1, []uint64{part.Fingerprint}, time.Now())
	}
	blocked := func() bool {
		return !slices.ContainsFunc(d.gateways, func(g *runningGateway) bool {
			return g.suspects.Status(part.Fingerprint, time.Now()) != poison.Blocked
		})
	}
	d.eventually("blocked at both", blocked)
	time.Sleep(500 * time.Millisecond) // for the write
	for _, g := range d.gateways {
		g.stop()
	}
	for _, g := range d.gateways {
		<-g.done
	}
	d.gateways = nil
	d.start("g0")
	d.start("g1")
	d.eventually("blocked after the restart", blocked)
	if r := d.gateways[0].sendPrompt("f1", deadlyPart); r.status != http.StatusServiceUnavailable || d.runsOf(r.id) != 0 {
		t.Errorf("status %d, ran %d times", r.status, d.runsOf(r.id))
	}
}

// Guards against one crash that counts several times because gateways whose clocks
// differ see it.
func TestCrashIsCountedOnceByAllGateways(t *testing.T) {
	table, now := poison.NewTable(poison.Config{BlockAfter: crashesToBlock}), time.Now()
	u := &fleet.Upstream{ID: "e", Started: 1700000000000}
	for skew := range 2 * crashesToBlock {
		c := newCrashTracker(table, nil, nil, zerolog.Nop())
		c.recordCrash(u, []brokenAnswer{{subject: &poison.Subject{Parts: []poison.Part{poison.NewPart("llm", deadlyPart)}}}}, now.Add(time.Duration(skew)*time.Second))
	}
	if got := table.Status(poison.NewPart("llm", deadlyPart).Fingerprint, now); got != poison.Suspect {
		t.Errorf("after one crash: %v", got)
	}
}

// Guards against a block that ends because another service, which the part doesn't
// crash, answers a request with it.
func TestAnswerOfAnotherServiceDoesNotReleaseAPart(t *testing.T) {
	d := newDeployment(t, 1)
	g := d.gateways[0]
	part := poison.NewPart("llm", deadlyPart)
	for id := range uint64(crashesToBlock) {
		g.suspects.RecordCrash(id+1, []uint64{part.Fingerprint}, time.Now())
	}
	if r := g.sendPromptTo("/status/x", "f1", deadlyPart); r.status != http.StatusOK {
		t.Errorf("at the other service: status %d", r.status)
	}
	if got := g.suspects.Status(part.Fingerprint, time.Now()); got != poison.Blocked {
		t.Errorf("after the answer: %v", got)
	}
}
