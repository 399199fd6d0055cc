package intake

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// Guards against a request that is neither answered nor refused and leaves no trace in the log.
func TestRequestOfAClosedConnectionIsLogged(t *testing.T) {
	var log strings.Builder
	c := NewConnections("callers", ConnectionLimits{}, zerolog.New(&log))
	server := &http.Server{Handler: http.NotFoundHandler()}
	c.Install(server)
	conn := &connection{owner: c}
	c.table.add(&conn.entry, start)
	c.table.drop(&conn.entry)
	func() {
		defer func() { _ = recover() }() // the log is checked
		request := httptest.NewRequest(http.MethodGet, "/target", nil)
		server.Handler.ServeHTTP(httptest.NewRecorder(), request.WithContext(server.ConnContext(request.Context(), conn)))
	}()
	if !strings.Contains(log.String(), `"target":"/target"`) || !strings.Contains(log.String(), `"outcome":"aborted"`) {
		t.Errorf("log: %s", log.String())
	}
}

// slowConn is a connection whose reader is not scheduled for a while after a read.
type slowConn struct {
	net.Conn
	delay *atomic.Int64 // of the next read that gets bytes
}

func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		time.Sleep(time.Duration(c.delay.Swap(0)))
	}
	return n, err
}

// pipeListener accepts the ends of pipes.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	if conn, ok := <-l.conns; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (l pipeListener) Close() error   { close(l.conns); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// closingBench is a server with limits whose clients connect through pipes.
type closingBench struct {
	conns chan net.Conn
	delay atomic.Int64
	idle  atomic.Int64
}

func newClosingBench(t *testing.T, limits ConnectionLimits, idle time.Duration) *closingBench {
	b := &closingBench{conns: make(chan net.Conn)}
	b.idle.Store(int64(idle))
	c := NewConnections("callers", limits, zerolog.Nop())
	server := &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })}
	c.Install(server)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = server.Serve(c.Listen(pipeListener{b.conns})) }() // ends with Close
	go c.Expire(ctx, func() (time.Duration, time.Duration) { return time.Minute, time.Duration(b.idle.Load()) })
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
		time.Sleep(2 * time.Second) // until reads that are delayed have ended
	})
	return b
}

// benchClient is a client with one connection.
type benchClient struct {
	net.Conn
	responses *bufio.Reader
}

func (b *closingBench) dial() *benchClient {
	client, server := net.Pipe()
	b.conns <- slowConn{server, &b.delay}
	return &benchClient{client, bufio.NewReader(client)}
}

// call sends a request and returns the status of the answer; 0 and the error if there is none.
func (c *benchClient) call() (int, error) {
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(c.responses, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK && string(body) != "body" {
		return 0, io.ErrUnexpectedEOF
	}
	return response.StatusCode, err
}

func (c *benchClient) mustAnswer(t *testing.T, what string, want ...int) {
	t.Helper()
	if status, err := c.call(); !slices.Contains(want, status) || err != nil {
		t.Errorf("%s: status %d, %v", what, status, err)
	}
}

// Guards against a request that was read before its connection expired and gets no answer.
func TestRequestReadBeforeTheIdleTimeoutIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newClosingBench(t, ConnectionLimits{}, 5*time.Second)
		for _, used := range []bool{true, false} {
			c := b.dial()
			if used {
				c.mustAnswer(t, "first request", http.StatusOK)
			}
			time.Sleep(4800 * time.Millisecond)
			b.delay.Store(int64(1500 * time.Millisecond))
			c.mustAnswer(t, "request read before the idle timeout", http.StatusOK)
			c.mustAnswer(t, "next request", http.StatusOK)
		}
	})
}

// Guards against a request that was read and gets neither an answer nor a refusal when
// its connection gives way to a new one.
func TestRequestReadBeforeItsConnectionGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newClosingBench(t, ConnectionLimits{Connections: 1}, time.Minute)
		old := b.dial()
		old.mustAnswer(t, "first request", http.StatusOK)
		synctest.Wait() // until the connection is idle
		b.delay.Store(int64(time.Second))
		done := make(chan struct{})
		go func() {
			defer close(done)
			old.mustAnswer(t, "request read before its connection gave way", http.StatusOK, http.StatusServiceUnavailable)
		}()
		time.Sleep(500 * time.Millisecond)
		b.dial().mustAnswer(t, "new connection", http.StatusOK)
		<-done
		if status, err := old.call(); err == nil {
			t.Error("the old connection goes on:", status)
		}
	})
}

// Guards against a request in several reads that gets neither an answer nor a refusal when
// its connection gives way after the last of them, and against an unfinished one that goes on.
func TestHeadInSeveralReadsIsAnsweredWhenItsConnectionGivesWay(t *testing.T) {
	for _, rest := range []string{"Content-Length: 4\r\n\r\nbody", "\r\n", "\n", "Unfinished: "} {
		t.Run(strconv.Quote(rest), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newClosingBench(t, ConnectionLimits{Connections: 1}, time.Minute)
				old := b.dial()
				_, _ = io.WriteString(old, "GET / HTTP/1.1\r\nHost: h\r\n") // the answer is checked
				synctest.Wait()
				b.delay.Store(int64(time.Second))
				began := time.Now()
				done := make(chan struct{})
				go func() {
					defer close(done)
					time.Sleep(500 * time.Millisecond)
					b.dial().mustAnswer(t, "new connection", http.StatusOK)
				}()
				_, _ = io.WriteString(old, rest) // as above
				response, err := http.ReadResponse(old.responses, nil)
				switch {
				case rest == "Unfinished: ":
					if err == nil || time.Since(began) > 1100*time.Millisecond {
						t.Errorf("an unfinished head was not closed at once: %v after %s", err, time.Since(began))
					}
				case err != nil:
					t.Error("a request that was read whole:", err)
				case response.StatusCode != http.StatusOK && response.StatusCode != http.StatusServiceUnavailable:
					t.Error("status", response.StatusCode)
				}
				<-done
			})
		})
	}
}

// Guards against a complete head that exceeds the memory for heads with its last read and
// gets neither an answer nor a refusal.
func TestCompleteHeadBeyondTheMemoryForHeadsIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newClosingBench(t, ConnectionLimits{HeadBytes: 1000}, time.Minute)
		c := b.dial()
		head := "GET / HTTP/1.1\r\nHost: h\r\nA: "
		head += strings.Repeat("x", 8600-len(head)-4) + "\r\n\r\n"
		for _, part := range []string{head[:4096], head[4096:8192], head[8192:]} {
			if _, err := io.WriteString(c, part); err != nil {
				t.Fatal(err)
			}
		}
		if response, err := http.ReadResponse(c.responses, nil); err != nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("%+v, %v", response, err)
		}
	})
}

// Guards against a complete head whose connection gives way before the handler has begun.
func TestConnectionOfACompleteHeadIsNotDropped(t *testing.T) {
	for _, reads := range [][]string{{"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}, {"GET / HTTP/1.1\r\nHost:", " h\r\n\r", "\n"}} {
		c := NewConnections("callers", ConnectionLimits{Connections: 1}, zerolog.Nop())
		client, server := net.Pipe()
		conn := &connection{Conn: server, owner: c}
		conn.inHead.Store(true)
		conn.entry.close = conn.end
		c.table.add(&conn.entry, start)
		go func() {
			for _, part := range reads {
				_, _ = io.WriteString(client, part) // the reads are checked
			}
		}()
		for _, part := range reads {
			if n, err := conn.Read(make([]byte, 100)); n != len(part) || err != nil {
				t.Fatalf("%d bytes of %q: %v", n, part, err)
			}
		}
		if expired := c.table.expire(time.Second, time.Second, start.Add(time.Hour)); len(expired) > 0 {
			t.Errorf("%q: expired", reads)
		}
		other := &entry{}
		if victim := c.table.add(other, time.Now()); victim != other {
			t.Errorf("%q: gave way", reads)
		}
		_ = conn.Close() // of a pipe
	}
}

// Guards against a lowered idle limit that ends connections which callers may still use by
// the limit before, and against one that never takes effect.
func TestLoweredIdleLimitTakesEffectAfterTheNextAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newClosingBench(t, ConnectionLimits{}, 20*time.Second)
		c := b.dial()
		c.mustAnswer(t, "first request", http.StatusOK)
		time.Sleep(5 * time.Second)
		b.idle.Store(int64(2 * time.Second))
		time.Sleep(11 * time.Second)
		c.mustAnswer(t, "within the limit of the last answer", http.StatusOK)
		time.Sleep(4 * time.Second)
		if status, err := c.call(); err == nil {
			t.Error("open beyond the lowered limit:", status)
		}
		unused := b.dial()
		unused.mustAnswer(t, "first request", http.StatusOK)
		b.idle.Store(int64(20 * time.Second))
		time.Sleep(16 * time.Second)
		unused.mustAnswer(t, "within a raised limit", http.StatusOK)
	})
}

// Guards against a limit that callers may go by and that no check of the time limits sees,
// since it was in force only between two of them.
func TestIdleLimitBetweenTwoChecksCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newClosingBench(t, ConnectionLimits{}, 2*time.Second)
		time.Sleep(1200 * time.Millisecond)
		b.idle.Store(int64(20 * time.Second))
		c := b.dial()
		c.mustAnswer(t, "first request", http.StatusOK)
		time.Sleep(200 * time.Millisecond)
		b.idle.Store(int64(2 * time.Second))
		time.Sleep(15 * time.Second)
		c.mustAnswer(t, "within the limit of the last answer", http.StatusOK)
	})
}

// Guards against the loss of a request that had arrived when its connection expired and
// that the server had not come to read.
func TestRequestThatArrivedBeforeTheIdleTimeoutIsAnswered(t *testing.T) {
	c := NewConnections("callers", ConnectionLimits{}, zerolog.Nop())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })}
	c.Install(server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &heldListener{Listener: l, reads: make(chan struct{}), hold: make(chan struct{})}
	go func() { _ = server.Serve(c.Listen(held)) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	client := &benchClient{conn, bufio.NewReader(conn)}
	<-held.reads // the server is about to read
	go func() {
		time.Sleep(100 * time.Millisecond) // until the request has arrived
		c.expire(0, time.Nanosecond, time.Now())
		close(held.hold)
	}()
	client.mustAnswer(t, "request that had arrived", http.StatusOK)
}

// heldListener accepts connections that are not read until hold is closed.
type heldListener struct {
	net.Listener
	reads, hold chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &heldConn{Conn: conn, l: l}, err
}

type heldConn struct {
	net.Conn
	l    *heldListener
	once sync.Once
}

func (c *heldConn) Read(p []byte) (int, error) {
	c.once.Do(func() { close(c.l.reads) })
	<-c.l.hold
	return c.Conn.Read(p)
}

func (c *heldConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// Guards against more connections than the limit, and against a count of those that leave
// which never returns to zero, for any order of closing, new connections and late requests.
func TestRestoredConnectionsStayWithinTheLimit(t *testing.T) {
	const limit, seed = 5, 42
	random := rand.New(rand.NewPCG(seed, seed))
	table := newTable(ConnectionLimits{Connections: limit})
	var all []*entry
	restored := 0
	for i := range 20_000 {
		now := start.Add(time.Duration(i) * time.Second)
		switch e := &(entry{}); random.IntN(5) {
		case 0, 1:
			if table.add(e, now) != e {
				all = append(all, e)
			}
		case 2:
			table.expire(time.Minute, time.Duration(10+random.IntN(20))*time.Second, now)
		default:
			if len(all) == 0 {
				continue
			}
			k := random.IntN(len(all))
			e = all[k]
			switch {
			case random.IntN(3) == 0:
				table.remove(e)
				all = slices.Delete(all, k, k+1)
			case table.enter(e, phase(random.IntN(int(phases))), now):
			case table.restore(e, phaseHead, now):
				restored++
				if !table.enter(e, phaseBusy, now) {
					t.Fatal("a restored connection does not go on")
				}
			}
		}
		if table.size > limit || table.leaving < 0 {
			t.Fatalf("step %d: %d connections, %d leaving", i, table.size, table.leaving)
		}
	}
	for _, e := range all {
		table.remove(e)
	}
	if table.size != 0 || table.leaving != 0 || restored == 0 {
		t.Errorf("%d connections, %d leaving at the end, %d restored", table.size, table.leaving, restored)
	}
}
