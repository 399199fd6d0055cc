package origin

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// Guards against streams that begin at a version that is not registered, or whose
// registration another gateway overwrites, and against an outage that ends those of others.
func TestVersionIsRegisteredBeforeItsFirstStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &fakeTable{}
		a, b := newGateway(t, rows, &fakePeers{}, "v1"), newGateway(t, rows, &fakePeers{}, "v2")
		for range 1000 {
			time.Sleep(time.Millisecond)
			if got := rows.registered(); a.admits("v1") && !slices.Contains(got, "v1") || b.admits("v2") && !slices.Contains(got, "v2") {
				t.Fatalf("streams may begin, registered: %v", got)
			}
		}
		if got := rows.registered(); len(got) != 2 || !a.admits("v1") || !b.admits("v2") {
			t.Errorf("registered after a second: %v", got)
		}
		rows.setFails(true)
		a.use("v1", "v3")
		for range 5000 {
			if time.Sleep(time.Millisecond); !a.admits("v1") || a.admits("v3") {
				t.Fatalf("while the store fails: v1 admitted %v, v3 %v", a.admits("v1"), a.admits("v3"))
			}
		}
		rows.setFails(false)
		if time.Sleep(time.Second); !a.admits("v3") || len(rows.registered()) != 3 {
			t.Errorf("a second after the outage: v3 admitted %v, registered %v", a.admits("v3"), rows.registered())
		}
	})
}

// Guards against a version that is removed while its streams can be resumed, or stays for
// ever, or has streams again before it has been registered again.
func TestObsoleteVersionIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &fakeTable{}
		a, b := newGateway(t, rows, &fakePeers{}, "v1", "v2"), newGateway(t, rows, &fakePeers{}, "v1", "v2")
		time.Sleep(2 * time.Second)
		a.removes.Store(true)
		a.use("v2")
		b.use("v2")
		time.Sleep(obsoleteAfter - time.Second)
		if got := rows.registered(); len(got) != 2 || !b.registry.Several("s") {
			t.Errorf("registered while v1 may have streams: %v", got)
		}
		time.Sleep(2*time.Second + obsoleteReadInterval)
		if got := rows.registered(); !slices.Equal(got, []string{"v2"}) || a.registry.Several("s") || b.registry.Several("s") {
			t.Errorf("registered after that: %v; more in use for the gateways: %v, %v", got, a.registry.Several("s"), b.registry.Several("s"))
		}
		c := newGateway(t, rows, &fakePeers{}, "v1", "v2") // has not seen v1 before
		b.use("v1", "v2")
		for range 1000 {
			if time.Sleep(time.Millisecond); (b.admits("v1") || c.admits("v1")) && len(rows.registered()) < 2 {
				t.Fatal("v1 has streams and is not registered again")
			}
		}
		if !b.admits("v1") || !c.admits("v1") {
			t.Error("v1 not admitted again")
		}
	})
}

// Guards against streams at a version that comes back while another gateway removes it.
func TestReturningVersionIsNotRemoved(t *testing.T) {
	for offset := -20 * time.Millisecond; offset <= 320*time.Millisecond; offset += 4 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			rows := &fakeTable{}
			a, b := newGateway(t, rows, &fakePeers{}, "v1", "v2"), newGateway(t, rows, &fakePeers{}, "v1", "v2")
			time.Sleep(2 * time.Second)
			a.removes.Store(true)
			a.use("v2")
			b.use("v2")
			time.Sleep(obsoleteAfter + offset)
			b.use("v1", "v2")
			time.Sleep(50 * time.Millisecond)
			a.use("v1", "v2")
			for range 1000 {
				if time.Sleep(time.Millisecond); b.admits("v1") && !slices.Contains(rows.registered(), "v1") {
					t.Fatal(offset, "v1 gets streams and is not registered")
				}
			}
			a.stop()
			b.stop()
		})
	}
}

// Guards against a restarted gateway that begins no streams while the store is down, since
// the one that it learns from still knows of a version that has gone.
func TestVersionsAreLearnedAfterARelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &fakeTable{}
		old := newGateway(t, rows, &fakePeers{}, "v1", "v2")
		time.Sleep(time.Second)
		old.use("v2")
		time.Sleep(6 * time.Second)
		rows.setFails(true)
		g := newGateway(t, rows, &fakePeers{}, "v2")
		if g.LearnRegistered(old.Registered()); !g.admits("v2") {
			t.Errorf("v2 not admitted, learned %v", old.Registered())
		}
	})
}

// Guards against a version that another gateway knows from the past only, and that has
// streams at one that has not read the row.
func TestLearnedVersionMayHaveBeenRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &fakeTable{}
		old := newGateway(t, rows, &fakePeers{}, "v1", "v2")
		time.Sleep(time.Second)
		rows.setFails(true)
		for _, known := range []bool{true, false} {
			g := newGateway(t, rows, &fakePeers{}, "v2")
			g.LearnRegistered(old.Registered())
			time.Sleep(time.Second)
			if g.use("v1", "v2"); g.admits("v1") != known {
				t.Errorf("v1 registered for sure %v, admitted %v", known, !known)
			}
			old.use("v2")
			time.Sleep(obsoleteAfter)
		}
	})
}

// Guards against streams that began before a second version came and that nobody else knows
// when its first streams begin.
func TestEarlierStreamsAreAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows, peers := &fakeTable{}, &fakePeers{}
		g, first := newGateway(t, rows, peers, "v1"), newGateway(t, rows, &fakePeers{}, "v1")
		time.Sleep(time.Second)
		g.Begun("s", "r1", upstreamOf("v1"))
		g.Begun("s", "r2", upstreamOf("v1"))
		g.Ended("s", "r2")
		if time.Sleep(time.Second); len(peers.announced) > 0 {
			t.Error("announced with one version in use")
		}
		first.use("v1", "v2")
		time.Sleep(100 * time.Millisecond) // the list reaches gateways one after another
		g.use("v1", "v2")
		for !first.admits("v2") {
			time.Sleep(time.Millisecond)
		}
		if len(peers.announced) != 1 || peers.announced[0].Key != KeyOf("s", "r1") {
			t.Errorf("announced before the first stream of v2: %+v", peers.announced)
		}
		if g.Begun("s", "r3", upstreamOf("v2")); len(peers.announced) != 2 || peers.announced[1].Version != "v2" {
			t.Errorf("announced with two versions in use: %+v", peers.announced)
		}
	})
}

// Guards against a stream that is resumed at a guessed version, or refused although its
// version is known.
func TestSourcesOfTheVersion(t *testing.T) {
	one, both := []string{"v1"}, []string{"v1", "v2"}
	known := func(version string) Answer {
		return Answer{Stream: NewStream(KeyOf("s", "r"), upstreamOf(version), time.Now()), Known: true, Versions: both}
	}
	for name, c := range map[string]struct {
		listed  []string // and registered
		late    []string // listed just now, while the store fails
		begun   string   // version at which the gateway itself began the stream
		unnamed bool     // the caller does not tell the request that began it
		fails   bool     // the store
		answers []Answer
		silent  bool   // a gateway that may have begun the stream
		want    string // empty for ErrUnknown
	}{
		"own":                        {listed: both, begun: "v2", want: "v2"},
		"own, store fails":           {listed: both, begun: "v2", fails: true, want: "v2"},
		"told by a peer":             {listed: both, answers: []Answer{{Versions: both}, known("v2")}, want: "v2"},
		"told, store fails":          {listed: one, fails: true, answers: []Answer{{Versions: one}, known("v2")}, want: "v2"},
		"one version":                {listed: one, want: "v1"},
		"one version, unnamed":       {listed: one, unnamed: true, want: "v1"},
		"one version for all peers":  {listed: one, fails: true, answers: []Answer{{Versions: one}, {Versions: one}}, want: "v1"},
		"one version, one silent":    {listed: one, fails: true, silent: true, answers: []Answer{{Versions: one}, {Versions: one}}},
		"one version for one peer":   {listed: one, fails: true, answers: []Answer{{Versions: one}}},
		"another version for a peer": {listed: one, fails: true, answers: []Answer{{Versions: one}, {Versions: one}, {Versions: both}}},
		"nothing known to a peer":    {listed: one, fails: true, answers: []Answer{{Versions: one}, {Versions: one}, {}}},
		"second version listed":      {listed: one, late: both, fails: true, answers: []Answer{{Versions: one}, {Versions: one}}},
		"several versions":           {listed: both, answers: []Answer{{Versions: both}, {Versions: both}}},
		"several versions, unnamed":  {listed: both, unnamed: true, begun: "v1"},
		"nothing known":              {fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows, request := &fakeTable{}, "r"
				g := newGateway(t, rows, &fakePeers{answers: c.answers, silent: c.silent}, c.listed...)
				time.Sleep(time.Second)
				rows.setFails(c.fails)
				if c.late != nil {
					g.use(c.late...)
					time.Sleep(100 * time.Millisecond)
				}
				if c.unnamed {
					request = ""
				}
				if c.begun != "" {
					g.Begun("s", request, upstreamOf(c.begun))
				}
				if v, err := g.Version(t.Context(), "s", request); v != c.want || (err != nil) != (c.want == "") || err != nil && !errors.Is(err, ErrUnknown) {
					t.Errorf("got %q, %v, want %q", v, err, c.want)
				}
			})
		})
	}
}

// Guards against trust in a stream that began while the list may have been behind: its
// upstream has restarted with another version, even if it has gone since. A stream that
// began long before the restart is refused in vain.
func TestStreamOfARestartedUpstreamIsDoubtful(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGateway(t, &fakeTable{}, &fakePeers{}, "v1", "v2")
		time.Sleep(time.Second)
		before := *upstreamOf("v2")
		before.Started, before.SoftwareVersion = 0, "v1"
		g.restore([]Stream{NewStream(KeyOf("s", "early"), &before, time.Now().Add(-time.Minute))}, true)
		g.Begun("s", "r", &before)
		for _, listed := range [][]string{{"v1", "v2"}, {"v1"}} {
			g.use(listed...)
			if v, err := g.Version(t.Context(), "s", "r"); err == nil || g.Certain(&before, time.Now()) || !g.Certain(upstreamOf("v1"), time.Now()) {
				t.Errorf("listed %v: got %s, certain %v", listed, v, g.Certain(&before, time.Now()))
			}
			if v, err := g.Version(t.Context(), "s", "early"); v != "v1" {
				t.Errorf("listed %v, began before the restart: got %q, %v", listed, v, err)
			}
		}
	})
}

var (
	plays     = flag.Int("origin.plays", 10, "number of plays of TestVersionIsNeverWrong")
	firstSeed = flag.Uint64("origin.first", 1, "seed of the first play")
)

// play runs gateways whose versions come and go, that restart, lose messages and the store,
// and begin and resume streams. It returns how many streams could be resumed.
func play(t *testing.T, seed uint64) (told, refused int) {
	random := rand.New(rand.NewPCG(seed, 0))
	rows, net := &fakeTable{}, &fakeNetwork{random: rand.New(rand.NewPCG(seed, 1))}
	listed := []string{"v1"}
	start := func(i int) *gateway { return newGateway(t, rows, &node{net, i}, listed...) }
	for i := range 5 {
		net.gateways = append(net.gateways, start(i))
	}
	net.gateways[0].removes.Store(true)
	type stream struct {
		id, version string
		began       time.Time
	}
	var streams []stream
	for step := range 2000 {
		time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
		i := random.IntN(len(net.gateways))
		g := net.gateways[i]
		switch draw := random.IntN(1000); {
		case draw < 5: // the lists change, one after another
			net.mu.Lock()
			listed = [][]string{{"v1"}, {"v2"}, {"v1", "v2"}, {"v2", "v3"}}[random.IntN(4)]
			net.mu.Unlock()
			for _, other := range net.gateways {
				now := slices.Clone(listed)
				time.AfterFunc(time.Duration(random.IntN(150))*time.Millisecond, func() {
					net.mu.Lock()
					defer net.mu.Unlock()
					if slices.Equal(now, listed) { // no later list has overtaken this one
						other.use(now...)
					}
				})
			}
		case draw < 10:
			g.stop()
			started := start(i)
			started.LearnRegistered(net.gateways[(i+1)%5].Registered())
			started.removes.Store(g.removes.Load())
			net.mu.Lock()
			net.gateways[i] = started
			net.mu.Unlock()
		case draw < 15:
			rows.setFails(true)
		case draw < 25:
			rows.setFails(false)
		case draw < 27:
			time.Sleep(obsoleteAfter + time.Duration(random.IntN(10000)-5000)*time.Millisecond)
		case draw < 500:
			usable := g.holder.View().Usable("s")
			if u := usable[random.IntN(len(usable))]; g.admits(u.SoftwareVersion) {
				s := stream{fmt.Sprint("r", step), u.SoftwareVersion, time.Now()}
				g.Begun("s", s.id, u)
				streams = append(streams, s)
			}
		case len(streams) > 0:
			s := streams[max(0, len(streams)-1-random.IntN(20))]
			if time.Since(s.began) > StreamLifetime {
				continue
			}
			request := s.id
			if random.IntN(10) == 0 {
				request = ""
			}
			v, err := g.Version(t.Context(), "s", request)
			if err == nil && v != s.version {
				t.Fatalf("seed %d, step %d: stream %s of %s, begun %v ago, was to go on at %s", seed, step, s.id, s.version, time.Since(s.began), v)
			}
			if err != nil {
				refused++
				continue
			}
			told++
			g.Begun("s", request, upstreamOf(v))
		}
	}
	return told, refused
}

// Guards against a stream that goes on at a version other than its own, and against many
// that are refused although they could be known.
func TestVersionIsNeverWrong(t *testing.T) {
	told, refused := 0, 0
	for i := range *plays {
		synctest.Test(t, func(t *testing.T) {
			a, b := play(t, *firstSeed+uint64(i))
			told, refused = told+a, refused+b
		})
	}
	t.Logf("%d streams resumed, %d refused", told, refused)
	if refused > told/4 {
		t.Errorf("%d streams resumed, %d refused", told, refused)
	}
}

// Guards against streams that are refused after a loss of all gateways although their
// origins were saved, and against rows that stay for ever.
func TestOriginsAreSaved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &fakeTable{}
		start := func(name string) (*gateway, func()) {
			g := newGateway(t, rows, &fakePeers{}, "v1", "v2")
			b := NewBackup(rows, g.Tracker, name, func() (int, int) { return 0, 2 }, zerolog.Nop())
			ctx, stop := context.WithCancel(t.Context())
			go b.Run(ctx)
			time.Sleep(time.Second)
			return g, func() { stop(); g.stop(); synctest.Wait() }
		}
		a, stopA := start("a")
		a.Begun("s", "saved", upstreamOf("v2"))
		a.Begun("s", "ended", upstreamOf("v2"))
		a.Ended("s", "ended")
		time.Sleep(time.Second)
		a.Begun("s", "too young", upstreamOf("v1"))
		stopA()
		for _, name := range []string{"b", "a", "b"} {
			g, stop := start(name)
			for request, want := range map[string]string{"saved": "v2", "ended": "", "too young": ""} {
				if v, _ := g.Version(t.Context(), "s", request); v != want {
					t.Errorf("%s at %s: got %q, want %q", request, name, v, want)
				}
			}
			stop()
		}
		time.Sleep(backupRetention + time.Second)
		if _, stop := start("c"); rows.has(backupPrefix + "a") {
			t.Error("an old row was not removed")
			stop()
		} else {
			stop()
		}
	})
}
