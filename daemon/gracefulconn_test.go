package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// delayedListener accepts connections whose reader is not scheduled for a while after a read.
type delayedListener struct {
	net.Listener
	delay atomic.Int64 // of the next read that gets bytes
	read  chan struct{}
}

func (l *delayedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &delayedConn{conn, l}, nil
}

type delayedConn struct {
	net.Conn
	listener *delayedListener
}

func (c *delayedConn) NetConn() net.Conn { return c.Conn }

func (c *delayedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if delay := c.listener.delay.Load(); n > 0 && c.listener.delay.CompareAndSwap(delay, 0) && delay > 0 {
		close(c.listener.read)
		time.Sleep(time.Duration(delay))
	}
	return n, err
}

// Guards against a request that has been read when the server stops and that gets no answer,
// and against a connection without a whole head that keeps the server from stopping.
func TestRequestReadBeforeTheStopIsAnswered(t *testing.T) {
	for _, test := range []struct {
		name, head, body string
		want             int
	}{
		{"without a body", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "", http.StatusOK},
		{"with a body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", "body", http.StatusOK},
		{"malformed", "GET\r\n\r\n", "", http.StatusBadRequest},
		{"unfinished", "GET / HTTP/1.1\r\nHost:", "", 0},
		{"few bytes", "GE", "", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			tcp, err := listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := newGracefulServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })})
			l := &delayedListener{Listener: server.listen(tcp), read: make(chan struct{})}
			served := make(chan error, 1)
			go func() { served <- serve(server.Server, l) }()
			conn, err := net.Dial("tcp", tcp.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			responses := bufio.NewReader(conn)
			answer := func() (int, string) {
				response, err := http.ReadResponse(responses, nil)
				if err != nil {
					return 0, err.Error()
				}
				body, err := io.ReadAll(response.Body)
				if err != nil {
					return 0, err.Error()
				}
				return response.StatusCode, string(body)
			}
			if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			if status, text := answer(); status != http.StatusOK {
				t.Fatal(status, text)
			}
			time.Sleep(50 * time.Millisecond) // until the connection is idle
			l.delay.Store(int64(300 * time.Millisecond))
			if _, err := io.WriteString(conn, test.head); err != nil {
				t.Fatal(err)
			}
			<-l.read
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			began, stopped := time.Now(), make(chan error, 1)
			go func() { stopped <- server.stop(ctx) }()
			time.Sleep(400 * time.Millisecond) // the head has been parsed
			if _, err := io.WriteString(conn, test.body); err != nil {
				t.Error("body:", err)
			}
			status, text := answer()
			if status != test.want || status == http.StatusOK && !strings.HasPrefix(text, test.body) {
				t.Errorf("status %d, %q", status, text)
			}
			if err := <-stopped; err != nil || time.Since(began) > 3*time.Second {
				t.Errorf("stopped after %v: %v", time.Since(began), err)
			}
			if _, err := responses.ReadByte(); err == nil {
				t.Error("the connection is open after the stop")
			}
			if err := <-served; err != nil {
				t.Error(err)
			}
		})
	}
}

// countingListener counts the bytes that are read of each connection.
type countingListener struct {
	net.Listener
	conns []*countingConn // complete when the server has stopped
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &countingConn{Conn: conn}
	l.conns = append(l.conns, c)
	return c, nil
}

type countingConn struct {
	net.Conn
	bytes, handled atomic.Int64
}

func (c *countingConn) NetConn() net.Conn { return c.Conn }

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Guards against requests that are read and not handled, or handled and not answered, when
// a server stops under load.
func TestStopHandlesWhatItHasRead(t *testing.T) {
	const clients, request = 100, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	tcp, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	type key struct{}
	var handled, answered atomic.Int64
	server := newGracefulServer(&http.Server{
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context { return context.WithValue(ctx, key{}, conn) },
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			handled.Add(1)
			r.Context().Value(key{}).(*countingConn).handled.Add(1)
		})})
	l := &countingListener{Listener: server.listen(tcp)}
	served := make(chan error, 1)
	go func() { served <- serve(server.Server, l) }()
	var group sync.WaitGroup
	for range clients {
		conn, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		group.Go(func() {
			defer conn.Close()
			for responses := bufio.NewReader(conn); ; time.Sleep(time.Millisecond) {
				if _, err := io.WriteString(conn, request); err != nil {
					return
				}
				if _, err := http.ReadResponse(responses, nil); err != nil {
					return
				}
				answered.Add(1)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	if err := server.stop(t.Context()); err != nil {
		t.Error(err)
	}
	group.Wait()
	if err := <-served; err != nil {
		t.Error(err)
	}
	for i, c := range l.conns {
		if read := c.bytes.Load() / int64(len(request)); read != c.handled.Load() {
			t.Errorf("connection %d: %d requests read, %d handled", i, read, c.handled.Load())
		}
	}
	if len(l.conns) != clients || answered.Load() < clients || handled.Load() != answered.Load() {
		t.Errorf("%d connections, %d requests handled, %d answered", len(l.conns), handled.Load(), answered.Load())
	}
}
