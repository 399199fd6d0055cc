package daemon

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/platform/platformtest"
)

// Guards against requests that are taken late in the grace, passed on and cut off at its
// end, and against callers that keep a stopping gateway listening by coming often.
func TestRequestsLateInTheGraceAreNotCut(t *testing.T) {
	d := newDeployment(t, 2)
	for _, e := range d.engines {
		e.Slots = 2000
		e.Register(d.store, "ready", e.Address())
		e.SetFault(platformtest.Unresponsive)
	}
	d.configure(2, platformtest.Route{Prefix: "/order/", Kind: "non_idempotent", Service: "app", TimeoutMs: 20000, ObjectiveMs: 20000, MaxAttempts: 1})
	g := d.gateways[0]
	d.eventually("the slots and the route in force", func() bool {
		usable := g.holder.View().Usable("app")
		return len(usable) == 1 && usable[0].Slots == 2000 && g.holder.View().Configuration.Version == 2
	})
	runs := func(id string) (n int) {
		for _, e := range d.engines {
			n += e.Runs(id)
		}
		return n
	}
	var callers sync.WaitGroup
	var mu sync.Mutex
	var problems []string
	count := map[string]int{}
	started := time.Now()
	g.stop()
	for time.Since(started) < 7*time.Second {
		callers.Go(func() {
			id, sent := nextID(), time.Since(started)
			status, err := sendOrder(g.settings.Instance.Listen, id)
			mu.Lock()
			defer mu.Unlock()
			ran := runs(id)
			switch {
			case err != nil && ran > 0:
				problems = append(problems, fmt.Sprintf("sent after %v, ran and got no answer: %v", sent, err))
			case err != nil:
				count["not read"]++
			case status == 503 && ran > 0:
				problems = append(problems, fmt.Sprintf("sent after %v, ran and was answered 503", sent))
			case status != 503 && sent > loadBalancerDelay+200*time.Millisecond:
				problems = append(problems, fmt.Sprintf("sent after %v, limit 20 s: answered %d", sent, status))
			default:
				count[fmt.Sprint(status)]++
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	if err := <-g.done; err != nil {
		t.Error(err)
	}
	if took := time.Since(started); took > 8*time.Second {
		t.Errorf("stopped after %v", took)
	}
	callers.Wait()
	t.Log(count)
	for i, p := range problems {
		if i < 10 {
			t.Error(p)
		}
	}
	if len(problems) > 10 {
		t.Errorf("and %d more", len(problems)-10)
	}
	if count["504"] == 0 || count["not read"] == 0 {
		t.Error("no request ran until the end of the grace, or none came after the listener was closed")
	}
}

// sendOrder sends a request with a limit of 20 s on a connection of its own.
func sendOrder(address, id string) (status int, err error) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/order/x", nil)
	if err != nil {
		return 0, err
	}
	platformtest.PrepareRequest(request, id, "h", 20000)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// Guards against a server that does not stop while callers connect often.
func TestStopEndsWhileCallersConnect(t *testing.T) {
	l, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := newGracefulServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })})
	listener := server.listen(l)
	served := make(chan error, 1)
	go func() { served <- serve(server.Server, listener) }()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			if conn, err := net.Dial("tcp", l.Addr().String()); err == nil {
				_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
				defer conn.Close()
			}
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	ended := make(chan error, 1)
	go func() { ended <- server.stop(t.Context()) }()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("not stopped within 5 s")
	}
	close(stop)
	<-stopped
	if err := <-served; err != nil {
		t.Error(err)
	}
}
