package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliausher/magnoliausher/platform/platformtest"
)

// request is one attempt of a caller with its result.
type request struct {
	id        string
	kind      string // first segment of its path
	gateway   string
	status    int // 0 without a response
	body      string
	err       error // of the connection or a truncated response
	faultFree bool  // sent while no fault was active, and not cancelled by its caller
	deadly    bool  // its prompt has the part that crashes engines
	// Of a request that takes a stream up: the event after which it goes on, and the request
	// that began it, which may be left out.
	after   int
	resumes string
}

// job is a batch job with the results of its submissions.
type job struct {
	id       string
	items    int
	attempts []attempt // guarded by deployment.mu
}

// attempt is one submission of a job.
type attempt struct {
	gateway string
	status  int // 0 without a response
}

func (j *job) accepted() bool {
	return slices.ContainsFunc(j.attempts, func(a attempt) bool { return a.status == http.StatusAccepted })
}

// refused reports whether every submission was answered with a promise that no item runs.
func (j *job) refused() bool {
	return len(j.attempts) > 0 && !slices.ContainsFunc(j.attempts, func(a attempt) bool { return !promisesNotRun(a.status) })
}

func promisesNotRun(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421
}

const (
	callerCount    = 6
	submitterCount = 3 // from firstRefusedJobSeed on
	maxAttempts    = 4 // submissions of a job, one after the other
	submitTimeout  = 4 * time.Second
)

func (d *deployment) startCallers() {
	for i := range callerCount {
		d.callers.Go(func() { d.call(i) })
	}
	if d.seed < firstRefusedJobSeed {
		d.callers.Go(d.submitJobs)
	} else {
		for i := range submitterCount {
			d.callers.Go(func() { d.submitBursts(i) })
		}
	}
	if d.seed >= firstStaleOwnerSeed {
		d.callers.Go(d.readJobs)
	}
	if d.seed >= firstVersionsSeed {
		for i := range streamCallerCount {
			d.callers.Go(func() { d.callStreams(i) })
		}
	}
}

func (d *deployment) stopCallers() {
	close(d.stop)
	d.callers.Wait()
}

func (d *deployment) running() bool {
	select {
	case <-d.stop:
		return false
	default:
		return true
	}
}

// call sends requests over keep-alive connections. Earlier seeds with planned operations
// only avoid gateways that are not ready, like a load balancer.
func (d *deployment) call(caller int) {
	random := rand.New(rand.NewPCG(d.seed, uint64(100+caller)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for n := 0; d.running(); n++ {
		kind := []string{"once", "once", "resume", "call"}[random.IntN(4)]
		g := d.gateways[random.IntN(len(d.gateways))]
		if d.plannedOnly && d.seed < firstDeadlyPartSeed && !g.ready() {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		r := &request{id: fmt.Sprintf("%s-%d-%d", kind, caller, n), kind: kind, gateway: g.name}
		r.deadly = d.seed >= firstDeadlyPartSeed && random.IntN(4) == 0 && d.deadlyPrompts.Load() > 0
		faultFree, cancelsEarly := d.faultFree.Load(), random.IntN(10) == 0
		if r.deadly {
			d.deadlyInProgress.Add(1)
		}
		timeout := requestTimeout
		if cancelsEarly {
			timeout = 60 * time.Millisecond // before the response is likely to be complete
		}
		r.send(client, g, timeout)
		if r.deadly {
			d.deadlyInProgress.Add(-1)
		}
		r.faultFree = faultFree && !cancelsEarly && !r.deadly
		d.mu.Lock()
		d.sent = append(d.sent, r)
		d.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// requestTimeout is the time limit of requests.
const requestTimeout = 4 * time.Second

// send makes one attempt, which the caller gives up after the timeout.
func (r *request) send(client *http.Client, g *gateway, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	// GetBody stays nil, so that net/http does not retry the request.
	body := struct{ io.Reader }{strings.NewReader("prompt of " + r.id)}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.listen+"/"+r.kind+"/x", body)
	if err != nil {
		r.err = err
		return
	}
	platformtest.PrepareRequest(httpRequest, r.id, "h", 4000)
	if r.after > 0 {
		platformtest.SetResumption(httpRequest, r.resumes, r.after)
	}
	parts := []string{sharedPart, "own" + r.id}
	if r.deadly {
		parts = []string{sharedPart, deadlyPart, "own" + r.id}
	}
	platformtest.SetPromptParts(httpRequest, parts...)
	response, err := client.Do(httpRequest)
	if err != nil {
		r.err = err
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	r.status, r.body, r.err = response.StatusCode, string(data), err
}

// submitJobs submits each job up to four times, to random gateways, until it is
// accepted.
func (d *deployment) submitJobs() {
	random := rand.New(rand.NewPCG(d.seed, 99))
	client := &http.Client{}
	for n := 0; d.running() && n < 12; n++ {
		j := d.newJob(fmt.Sprint("job", n), 1+random.IntN(6))
		for range maxAttempts {
			if d.submit(client, j, d.gateways[random.IntN(len(d.gateways))], submitTimeout) == http.StatusAccepted {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
	}
}

func (d *deployment) newJob(id string, items int) *job {
	j := &job{id: id, items: items}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.jobs = append(d.jobs, j)
	return j
}

// submitBursts submits several jobs at a time, over keep-alive connections.
func (d *deployment) submitBursts(submitter int) {
	random := rand.New(rand.NewPCG(d.seed, uint64(300+submitter)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	for n := 0; d.running(); n++ {
		var burst sync.WaitGroup
		for i := range 1 + random.IntN(4) {
			j := d.newJob(fmt.Sprintf("job%d-%d-%d", submitter, n, i), 1+random.IntN(3))
			own := rand.New(rand.NewPCG(d.seed, random.Uint64()))
			burst.Go(func() { d.submitRepeatedly(client, own, j) })
		}
		burst.Wait()
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	}
}

// submitRepeatedly submits a job until it is accepted: to one gateway, to two at the same
// time or to one twice at the same time. Some submissions time out early.
func (d *deployment) submitRepeatedly(client *http.Client, random *rand.Rand, j *job) {
	for range maxAttempts {
		g, other := d.gateways[random.IntN(len(d.gateways))], d.gateways[random.IntN(len(d.gateways))]
		targets := [][]*gateway{{g}, {g}, {g}, {g}, {g, g}, {g, other}}[random.IntN(6)]
		var round sync.WaitGroup
		var accepted atomic.Bool
		for _, g := range targets {
			timeout := submitTimeout
			if random.IntN(8) == 0 {
				timeout = time.Duration(20+random.IntN(1000)) * time.Millisecond
			}
			round.Go(func() {
				if d.submit(client, j, g, timeout) == http.StatusAccepted {
					accepted.Store(true)
				}
			})
		}
		round.Wait()
		if accepted.Load() {
			return
		}
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
}

// readJobs reads results at random gateways while faults last.
func (d *deployment) readJobs() {
	random := rand.New(rand.NewPCG(d.seed, 98))
	for d.running() {
		d.mu.Lock()
		jobs := d.jobs
		d.mu.Unlock()
		if len(jobs) > 0 {
			j := jobs[random.IntN(len(jobs))]
			after := random.IntN(j.items)
			if p, err := d.readResults(d.gateways[random.IntN(len(d.gateways))], j, after); err == nil {
				for i, r := range p.Results {
					d.recordRead(j, after+i, r.ID+" "+r.State+" "+r.Output)
				}
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// recordRead checks that a position holds what it held when it was first read.
func (d *deployment) recordRead(j *job, position int, result string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.read[j.id] == nil {
		d.read[j.id] = make(map[int]string)
	}
	if before, known := d.read[j.id][position]; known && before != result {
		d.t.Errorf("seed %d: position %d of %s held %q, now %q", d.seed, position, j.id, before, result)
		return
	}
	d.read[j.id][position] = result
}

// submit makes one attempt and returns its status, or 0 without a response.
func (d *deployment) submit(client *http.Client, j *job, g *gateway, timeout time.Duration) (status int) {
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		j.attempts = append(j.attempts, attempt{g.name, status})
	}()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.listen+"/batch/"+j.id, strings.NewReader(platformtest.EncodeJob(j.id, "/batch/x", j.items, 10)))
	if err != nil {
		d.t.Error(err)
		return 0
	}
	httpRequest.GetBody = nil // net/http would make attempts that are not recorded
	platformtest.PrepareRequest(httpRequest, j.id, "h", 0)
	response, err := client.Do(httpRequest)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// checkRecovery requires that soon after the last fault every gateway is ready and
// serves with the newest configuration.
func (d *deployment) checkRecovery() {
	client := &http.Client{Timeout: time.Second}
	for _, g := range d.gateways {
		d.await(g.name+" serves the newest configuration", recoveryTime, func() bool {
			httpRequest, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/version/%d/x", g.listen, d.version), nil)
			if err != nil {
				return false
			}
			platformtest.PrepareRequest(httpRequest, fmt.Sprint("newest-", rand.Uint64()), "h", 0)
			response, err := client.Do(httpRequest)
			if err != nil {
				return false
			}
			response.Body.Close()
			return response.StatusCode == http.StatusOK && g.ready()
		})
	}
}

// checkFaultFreeService lets the callers continue without faults. checkRequests
// requires that all requests of this time were served. Accepted jobs must be accepted
// again.
func (d *deployment) checkFaultFreeService() {
	d.faultFree.Store(true)
	defer d.faultFree.Store(false)
	end := time.Now().Add(faultFreeTime)
	if d.seed >= firstRefusedJobSeed {
		d.mu.Lock()
		known := slices.DeleteFunc(slices.Clone(d.jobs), func(j *job) bool { return !j.accepted() })
		d.mu.Unlock()
		client := &http.Client{}
		for i, j := range known {
			g := d.gateways[i%len(d.gateways)]
			if status := d.submit(client, j, g, submitTimeout); status != http.StatusAccepted {
				d.t.Errorf("seed %d: %s was accepted before, and %s answers %d without faults", d.seed, j.id, g.name, status)
			}
		}
	}
	time.Sleep(time.Until(end))
}

func (d *deployment) runs(id string) int {
	sum := 0
	for _, e := range d.engines {
		sum += e.Runs(id)
		if d.seed >= firstVersionsSeed {
			sum += e.Resumed(id)
		}
	}
	return sum
}

// isWhole reports whether a request got its complete response, from one software version.
func (d *deployment) isWhole(r *request) bool {
	if d.seed >= firstVersionsSeed && r.kind != "call" {
		events, rest := parseEvents(r.body)
		return rest == "" && areWhole(events, r.id, r.after)
	}
	return r.body == expectedBody(r)
}

// expectedBody returns the complete response to a request.
func expectedBody(r *request) string {
	if r.kind == "call" {
		return "answer to " + r.id
	}
	var b strings.Builder
	for n := 1; n <= 5; n++ {
		b.WriteString(platformtest.EventText(r.id, n))
	}
	return b.String()
}

// checkRequests checks the result of every request against the executions at the
// engines.
func (d *deployment) checkRequests() {
	d.mu.Lock()
	defer d.mu.Unlock()
	served := 0
	for _, r := range d.sent {
		runs := d.runs(r.id)
		switch {
		case r.kind == "once" && runs > 1:
			d.t.Errorf("seed %d: %s was executed %d times", d.seed, r.id, runs)
		case promisesNotRun(r.status):
			if runs > 0 {
				d.t.Errorf("seed %d: %s was rejected as not executed by %s and was executed %d times", d.seed, r.id, r.gateway, runs)
			}
		case r.faultFree && (r.status != 200 || r.err != nil):
			d.t.Errorf("seed %d: %s was not served by %s after the recovery: %d, %v", d.seed, r.id, r.gateway, r.status, r.err)
		case r.status == 200 && r.err == nil:
			if r.faultFree {
				served++
			}
			if !d.isWhole(r) {
				d.t.Errorf("seed %d: %s got response %q", d.seed, r.id, r.body)
			}
		case r.status == 404 || r.status == 400:
			d.t.Errorf("seed %d: %s was rejected with %d by %s", d.seed, r.id, r.status, r.gateway)
		case d.plannedOnly && !errors.Is(r.err, context.DeadlineExceeded) && runs > 0:
			d.t.Errorf("seed %d: %s was executed and its response lost during planned operations at %s: %d, %v", d.seed, r.id, r.gateway, r.status, r.err)
		}
	}
	if served == 0 {
		d.t.Errorf("seed %d: no request was served after the recovery", d.seed)
	}
}

func (d *deployment) readResults(g *gateway, j *job, after int) (platformtest.ResultsPage, error) {
	client := &http.Client{Timeout: 2 * time.Second}
	var p platformtest.ResultsPage
	httpRequest, err := http.NewRequest(http.MethodGet, "http://"+g.listen+platformtest.ResultsPath(j.id, after), nil)
	if err != nil {
		return p, err
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return p, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return p, fmt.Errorf("status %d", response.StatusCode)
	}
	return p, json.NewDecoder(response.Body).Decode(&p)
}

// checkRefusedJobs requires that jobs refused in every submission were not executed.
// Commits that take effect late must have done so.
func (d *deployment) checkRefusedJobs() {
	time.Sleep(time.Until(d.faultsEnded.Add(maxCommitDelay + time.Second)))
	refused := 0
	for _, j := range d.jobs {
		if !j.refused() {
			continue
		}
		refused++
		for i := range j.items {
			if runs := d.runs(fmt.Sprintf("%s-%d", j.id, i)); runs > 0 {
				d.t.Errorf("seed %d: item %d of %s was executed %d times although every submission was answered with not accepted: %v", d.seed, i, j.id, runs, j.attempts)
			}
		}
	}
	relayed, conflicts := d.countRelayedCommits()
	relayedCommits.Add(int64(relayed))
	d.t.Logf("seed %d: %d jobs, %d refused in every submission; %d commits through a peer, of which %d conflicted", d.seed, len(d.jobs), refused, relayed, conflicts)
}

// checkJobs requires that accepted jobs are completed, with the same results at all
// gateways.
func (d *deployment) checkJobs() {
	for _, j := range d.jobs {
		if !j.accepted() {
			continue
		}
		var first []string
		if d.t.Failed() {
			return // further failures add little, and each would wait for its full timeout
		}
		for _, g := range d.gateways {
			var results []string
			d.await(fmt.Sprintf("all results of %s at %s", j.id, g.name), 20*time.Second, func() bool {
				p, err := d.readResults(g, j, len(results))
				if err != nil {
					return false
				}
				for _, r := range p.Results {
					d.recordRead(j, len(results), r.ID+" "+r.State+" "+r.Output)
					results = append(results, r.ID+" "+r.State)
					if r.State != "done" || !d.isWholeOutput(r.ID, r.Output) {
						d.t.Errorf("seed %d: result of %s: %s %q", d.seed, r.ID, r.State, r.Output)
					}
				}
				return p.Total == j.items && len(results) == j.items
			})
			if first == nil {
				first = results
			}
			if strings.Join(results, ",") != strings.Join(first, ",") {
				d.t.Errorf("seed %d: %s has different results at %s", d.seed, j.id, g.name)
			}
		}
	}
}
