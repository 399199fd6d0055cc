package daemon

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/platform/platformtest"
)

// useVersions restarts the engines with the given versions of their software, and waits
// until each gateway uses all of them.
func (d *deployment) useVersions(versions ...string) {
	d.t.Helper()
	for i, version := range versions {
		d.engines[i].Events, d.engines[i].Interval = 12, 10*time.Millisecond
		d.engines[i].Upgrade(d.store, version)
	}
	for _, g := range d.gateways {
		for _, version := range versions {
			d.eventually(version+" in use", func() bool {
				return strings.Contains(g.send("POST", "/resume/x", nextID(), "").body, "data: "+version)
			})
		}
	}
}

// kill ends gateways without letting them finish what they do.
func (d *deployment) kill(gateways ...*runningGateway) {
	d.t.Helper()
	for _, g := range gateways {
		g.ingress.Close()
		g.peers.Close()
		g.stop()
	}
	for _, g := range gateways {
		<-g.done
	}
}

// stream is one whose first events a caller has read.
type stream struct{ id, version string }

const eventsRead = 3

// begin reads the first events of a stream and breaks the connection.
func (g *runningGateway) begin(t *testing.T) stream {
	t.Helper()
	id := nextID()
	response, err := g.open("POST", "/resume/x", id, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var text string
	for lines := bufio.NewScanner(response.Body); strings.Count(text, "\n\n") < eventsRead && lines.Scan(); {
		text += lines.Text() + "\n"
	}
	for _, version := range []string{"v1", "v2"} {
		if text == expectedStream(version+" "+id, eventsRead) {
			return stream{id, version}
		}
	}
	t.Fatalf("stream %s: status %d, %q", id, response.StatusCode, text)
	return stream{}
}

// checkResumed checks that a gateway goes on with a stream at its version, or refuses it.
func (d *deployment) checkResumed(g *runningGateway, s stream, refused bool) {
	d.t.Helper()
	id, status := nextID(), 200
	r := read(g.open("POST", "/resume/x", id, "", http.Header{"Last-Event-Id": {fmt.Sprint(eventsRead)}, "Resumes": {s.id}}))
	body := strings.TrimPrefix(expectedStream(s.version+" "+id, 12), expectedStream(s.version+" "+id, eventsRead))
	if refused {
		status, body = 503, "Service Unavailable\n"
	}
	ran := 0
	for _, e := range d.engines {
		ran += e.Resumed(id)
	}
	if r.status != status || r.body != body || (ran == 0) != refused {
		d.t.Errorf("stream begun by %s: status %d, %v, ran %d times, %q", s.version, r.status, r.err, ran, r.body)
	}
}

// Guards against a stream whose upstream breaks and that goes on at another version.
func TestBrokenStreamStaysAtItsVersion(t *testing.T) {
	d := newDeployment(t, 1)
	d.useVersions("v1", "v1", "v2")
	d.engines[0].SetFault(platformtest.TruncatedResponse)
	for range 30 {
		id := nextID()
		r := d.gateways[0].send("POST", "/resume/x", id, "")
		if r.status != 200 || r.body != expectedStream("v1 "+id, 12) && r.body != expectedStream("v2 "+id, 12) {
			t.Errorf("%+v", r)
		}
	}
}

// Guards against a stream that a caller resumes at another gateway, also after the loss of
// the first one, and that goes on at another version or is refused.
func TestCallerResumesStreamAtItsVersion(t *testing.T) {
	d := newDeployment(t, 3)
	d.useVersions("v1", "v1", "v2")
	var begun []stream
	for i := range 24 {
		begun = append(begun, d.gateways[0].begin(t))
		d.checkResumed(d.gateways[1+i%2], begun[i], false)
	}
	d.kill(d.gateways[0])
	for i, s := range begun {
		d.checkResumed(d.gateways[1+i%2], s, false)
	}
}

// Guards against a guess after the loss of all gateways, and against a refusal of streams
// whose version can be told.
func TestCallerResumesStreamAfterLossOfAllGateways(t *testing.T) {
	d := newDeployment(t, 2)
	for _, c := range []struct {
		last string // version of the third engine
		lost bool   // what gateways save of streams
	}{{"v1", false}, {"v2", false}, {"v2", true}} {
		d.useVersions("v1", "v1", c.last)
		var begun []stream
		for i := range 8 {
			begun = append(begun, d.gateways[i%2].begin(t))
		}
		time.Sleep(time.Second) // to save them
		d.kill(d.gateways...)
		d.gateways = nil
		if c.lost {
			for _, r := range d.store.Rows("origins") {
				d.store.Remove(r.Table, r.Part, r.Key)
			}
		}
		d.start("g0")
		d.start("g1")
		for i, s := range begun {
			d.checkResumed(d.gateways[i%2], s, c.lost)
		}
	}
}
