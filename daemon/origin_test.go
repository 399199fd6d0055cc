package daemon

import (
	"bufio"
	"fmt"
	"io"
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
		d.engines[i].Upgrade(d.store, version)
	}
	for _, g := range d.gateways {
		seen := make(map[string]bool)
		d.eventually("all versions in use", func() bool {
			_, data, _ := strings.Cut(g.send("POST", "/resume/x", nextID(), "").body, "data: ")
			version, _, _ := strings.Cut(data, " ")
			seen[version] = true
			for _, v := range versions {
				if !seen[v] {
					return false
				}
			}
			return true
		})
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
		if err := <-g.done; err != nil {
			d.t.Error(err)
		}
	}
}

// stream is one that a caller has begun to read.
type stream struct {
	id, version string
	events      int
}

// begin reads the first events of a stream and breaks the connection.
func (g *runningGateway) begin(t *testing.T, events int) stream {
	t.Helper()
	s := stream{id: nextID(), events: events}
	request, err := http.NewRequest("POST", "http://"+g.settings.Instance.Listen+"/resume/x", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	platformtest.PrepareRequest(request, s.id, "h", 5000)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for n := 0; n < events && lines.Scan(); {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			s.version, _, _ = strings.Cut(data, " ")
			n++
		}
	}
	if s.version == "" {
		t.Fatalf("stream %s has not begun: status %d", s.id, response.StatusCode)
	}
	return s
}

// resume takes a stream up again, and returns the ID of the request for that.
func (g *runningGateway) resume(t *testing.T, s stream) (string, reply) {
	t.Helper()
	id := nextID()
	request, err := http.NewRequest("POST", "http://"+g.settings.Instance.Listen+"/resume/x", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	platformtest.PrepareRequest(request, id, "h", 5000)
	request.Header.Set("Last-Event-Id", fmt.Sprint(s.events))
	request.Header.Set("Resumes", s.id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return id, reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return id, reply{status: response.StatusCode, body: string(data), err: err}
}

// checkGoesOn checks that a gateway goes on with a stream at its version until event last.
func (g *runningGateway) checkGoesOn(t *testing.T, s stream, last int) {
	t.Helper()
	id, r := g.resume(t, s)
	want := strings.TrimPrefix(expectedStream(s.version+" "+id, last), expectedStream(s.version+" "+id, s.events))
	if r.status != 200 || r.body != want {
		t.Errorf("stream begun by %s: status %d, %v, %q", s.version, r.status, r.err, r.body)
	}
}

// Guards against a stream whose upstream breaks and that goes on at another version.
func TestBrokenStreamStaysAtItsVersion(t *testing.T) {
	d := newDeployment(t, 1)
	d.useVersions("v1", "v1", "v2")
	d.engines[0].SetFault(platformtest.TruncatedResponse)
	resumed := 0
	for range 30 {
		id := nextID()
		r := d.gateways[0].send("POST", "/resume/x", id, "")
		if r.status != 200 || r.body != expectedStream("v1 "+id, 5) && r.body != expectedStream("v2 "+id, 5) {
			t.Errorf("%+v", r)
		}
		resumed += d.engines[1].Resumed(id)
	}
	if resumed == 0 {
		t.Error("no stream was resumed")
	}
}

// Guards against a stream that a caller takes up elsewhere and that goes on at another
// version, or is refused although its origin is known.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	d := newDeployment(t, 3)
	for _, e := range d.engines {
		e.Events, e.Interval = 12, 10*time.Millisecond
	}
	d.useVersions("v1", "v1", "v2")
	for i := range 24 {
		d.gateways[1+i%2].checkGoesOn(t, d.gateways[0].begin(t, 3), 12)
	}
	var begun []stream
	for range 8 {
		begun = append(begun, d.gateways[0].begin(t, 3))
	}
	d.kill(d.gateways[0])
	for i, s := range begun {
		d.gateways[1+i%2].checkGoesOn(t, s, 12)
	}
}

// Guards against a guess after all gateways have been lost: a stream that goes on at another
// version, or that is refused although only one version is in use.
func TestStreamAfterLossOfAllGateways(t *testing.T) {
	d := newDeployment(t, 2)
	for _, e := range d.engines {
		e.Events, e.Interval = 12, 10*time.Millisecond
	}
	restart := func() {
		d.kill(d.gateways...)
		d.gateways = nil
		d.start("g0")
		d.start("g1")
	}
	d.useVersions("v1", "v1", "v1")
	begun := []stream{d.gateways[0].begin(t, 3), d.gateways[1].begin(t, 3)}
	restart()
	for _, s := range begun {
		d.gateways[0].checkGoesOn(t, s, 12)
	}
	d.useVersions("v1", "v1", "v2")
	begun = nil
	for range 8 {
		begun = append(begun, d.gateways[0].begin(t, 3))
	}
	restart()
	for i, s := range begun {
		if id, r := d.gateways[i%2].resume(t, s); r.status != 503 || d.engines[0].Resumed(id)+d.engines[1].Resumed(id)+d.engines[2].Resumed(id) > 0 {
			t.Errorf("stream begun by %s: status %d, %q", s.version, r.status, r.body)
		}
	}
}
