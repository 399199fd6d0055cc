package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/magnoliausher/magnoliausher/platform/platformtest"
)

// request is one try of a caller with what came of it.
type request struct {
	id      string
	kind    string // first segment of its path
	gateway string
	status  int // 0 without an answer
	body    string
	err     error // of the connection or a cut answer
	calm    bool  // sent and ended while there was no fault, by a caller that stays
}

// job is a batch job with the answers to its submissions.
type job struct {
	id       string
	items    int
	accepted bool
	promised bool // every try was answered with "not accepted"
}

const callerCount = 6

func (w *world) startCallers() {
	for i := range callerCount {
		w.callers.Go(func() { w.call(i) })
	}
	w.callers.Go(w.submitJobs)
}

func (w *world) stopCallers() {
	close(w.stop)
	w.callers.Wait()
}

func (w *world) running() bool {
	select {
	case <-w.stop:
		return false
	default:
		return true
	}
}

// call sends requests over kept connections, and moves to another gateway when
// one is unready, as the load balancer would make it.
func (w *world) call(caller int) {
	random := rand.New(rand.NewPCG(w.seed, uint64(100+caller)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for n := 0; w.running(); n++ {
		kind := []string{"once", "once", "resume", "call"}[random.IntN(4)]
		g := w.gateways[random.IntN(len(w.gateways))]
		if w.plannedOnly && !g.ready() {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		r := &request{id: fmt.Sprintf("%s-%d-%d", kind, caller, n), kind: kind, gateway: g.name}
		calm, leaves := w.calm.Load(), random.IntN(10) == 0
		r.send(client, g, leaves)
		r.calm = calm && !leaves
		w.mu.Lock()
		w.sent = append(w.sent, r)
		w.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// send makes one try; some callers leave early.
func (r *request) send(client *http.Client, g *gateway, leaves bool) {
	limit := 4 * time.Second
	if leaves {
		limit = 60 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	// GetBody stays nil, so that the client repeats nothing by itself.
	body := struct{ io.Reader }{strings.NewReader("prompt of " + r.id)}
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.listen+"/"+r.kind+"/x", body)
	if err != nil {
		r.err = err
		return
	}
	platformtest.PrepareRequest(message, r.id, "h", 4000)
	response, err := client.Do(message)
	if err != nil {
		r.err = err
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	r.status, r.body, r.err = response.StatusCode, string(data), err
}

// submitJobs sends each job again, to any gateway, until it is accepted.
func (w *world) submitJobs() {
	random := rand.New(rand.NewPCG(w.seed, 99))
	client := &http.Client{Timeout: 4 * time.Second}
	for n := 0; w.running() && n < 12; n++ {
		j := &job{id: fmt.Sprint("job", n), items: 1 + random.IntN(6), promised: true}
		w.mu.Lock()
		w.jobs = append(w.jobs, j)
		w.mu.Unlock()
		for try := 0; try < 4 && !j.accepted; try++ {
			status := w.submit(client, j, w.gateways[random.IntN(len(w.gateways))])
			j.accepted = status == http.StatusAccepted
			j.promised = j.promised && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
			if !j.accepted {
				time.Sleep(200 * time.Millisecond)
			}
		}
		time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
	}
}

func (w *world) submit(client *http.Client, j *job, g *gateway) int {
	message, err := http.NewRequest(http.MethodPost, "http://"+g.listen+"/batch/"+j.id, strings.NewReader(platformtest.EncodeJob(j.id, "/batch/x", j.items, 10)))
	if err != nil {
		w.t.Error(err)
		return 0
	}
	platformtest.PrepareRequest(message, j.id, "h", 0)
	response, err := client.Do(message)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// checkRecovery requires full service soon after the last fault: every gateway
// is ready, has the newest configuration and serves.
func (w *world) checkRecovery() {
	client := &http.Client{Timeout: time.Second}
	for _, g := range w.gateways {
		w.await(g.name+" serves the newest configuration", recoveryTime, func() bool {
			message, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/version/%d/x", g.listen, w.version), nil)
			if err != nil {
				return false
			}
			platformtest.PrepareRequest(message, fmt.Sprint("newest-", rand.Uint64()), "h", 0)
			response, err := client.Do(message)
			if err != nil {
				return false
			}
			response.Body.Close()
			return response.StatusCode == http.StatusOK && g.ready()
		})
	}
}

// checkCalm lets the callers go on for a while, in which all of them are served.
func (w *world) checkCalm() {
	w.calm.Store(true)
	time.Sleep(calmTime)
	w.calm.Store(false)
}

func (w *world) runs(id string) int {
	sum := 0
	for _, e := range w.engines {
		sum += e.Runs(id)
	}
	return sum
}

// expected is the whole answer to a request.
func expected(r *request) string {
	if r.kind == "call" {
		return "answer to " + r.id
	}
	var b strings.Builder
	for n := 1; n <= 5; n++ {
		b.WriteString(platformtest.EventText(r.id, n))
	}
	return b.String()
}

// checkRequests judges every try by what its caller and the engines saw.
func (w *world) checkRequests() {
	w.mu.Lock()
	defer w.mu.Unlock()
	calm := 0
	for _, r := range w.sent {
		runs := w.runs(r.id)
		switch {
		case r.kind == "once" && runs > 1:
			w.t.Errorf("seed %d: %s ran %d times", w.seed, r.id, runs)
		case r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421:
			if runs > 0 {
				w.t.Errorf("seed %d: %s was called not run by %s and ran %d times", w.seed, r.id, r.gateway, runs)
			}
		case r.calm && (r.status != 200 || r.err != nil):
			w.t.Errorf("seed %d: %s was not served by %s after the recovery: %d, %v", w.seed, r.id, r.gateway, r.status, r.err)
		case r.status == 200 && r.err == nil:
			if r.calm {
				calm++
			}
			if r.body != expected(r) {
				w.t.Errorf("seed %d: %s got %q", w.seed, r.id, r.body)
			}
		case r.status == 404 || r.status == 400:
			w.t.Errorf("seed %d: %s was denied with %d by %s", w.seed, r.id, r.status, r.gateway)
		case w.plannedOnly && !errors.Is(r.err, context.DeadlineExceeded) && runs > 0:
			w.t.Errorf("seed %d: %s ran and was lost beside planned work at %s: %d, %v", w.seed, r.id, r.gateway, r.status, r.err)
		}
	}
	if calm == 0 {
		w.t.Errorf("seed %d: no request was served after the recovery", w.seed)
	}
}

func (w *world) read(g *gateway, j *job, after int) (platformtest.ResultsPage, error) {
	client := &http.Client{Timeout: 2 * time.Second}
	var p platformtest.ResultsPage
	message, err := http.NewRequest(http.MethodGet, "http://"+g.listen+platformtest.ResultsPath(j.id, after), nil)
	if err != nil {
		return p, err
	}
	response, err := client.Do(message)
	if err != nil {
		return p, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return p, fmt.Errorf("status %d", response.StatusCode)
	}
	return p, json.NewDecoder(response.Body).Decode(&p)
}

// checkJobs requires that accepted jobs are done whole, with the same results
// at all gateways, and that others have not run where that was promised.
func (w *world) checkJobs() {
	for _, j := range w.jobs {
		if !j.accepted {
			for i := range j.items {
				if j.promised && w.runs(fmt.Sprintf("%s-%d", j.id, i)) > 0 {
					w.t.Errorf("seed %d: %s ran although every submission was answered with not accepted", w.seed, j.id)
				}
			}
			continue
		}
		var first []string
		if w.t.Failed() {
			return // the first failure tells enough, and each further one takes its whole wait
		}
		for _, g := range w.gateways {
			var list []string
			w.await(fmt.Sprintf("all results of %s at %s", j.id, g.name), 20*time.Second, func() bool {
				p, err := w.read(g, j, len(list))
				if err != nil {
					return false
				}
				for _, r := range p.Results {
					list = append(list, r.ID+" "+r.State)
					if r.State != "done" || r.Output != platformtest.ExpectedOutput(r.ID, 5) {
						w.t.Errorf("seed %d: result of %s: %s %q", w.seed, r.ID, r.State, r.Output)
					}
				}
				return p.Total == j.items && len(list) == j.items
			})
			if first == nil {
				first = list
			}
			if strings.Join(list, ",") != strings.Join(first, ",") {
				w.t.Errorf("seed %d: %s has other results at %s", w.seed, j.id, g.name)
			}
		}
	}
}
