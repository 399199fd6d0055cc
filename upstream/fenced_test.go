package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/standin/network"
)

// orderRecorder is an Engine that only records orders.
type orderRecorder struct {
	Engine
	received []Order
}

func (o *orderRecorder) Order(_ context.Context, order Order) error {
	o.received = append(o.received, order)
	return nil
}

// Guards against an order that is sent outside the lease or with the fencing number
// of an earlier lease.
func TestFencedSenderSendsOnlyWithinLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &orderRecorder{}
		s := NewFencedSender(engine, 2*time.Second)
		send := func(want error) {
			t.Helper()
			if err := s.Send(t.Context(), Order{Kind: OrderSetRole, Fencing: 99}); !errors.Is(err, want) {
				t.Errorf("got %v, want %v", err, want)
			}
		}
		send(ErrNoLease)
		now := time.Now()
		s.SetLease(OrderLease{Fencing: 4, From: now.Add(time.Second), Until: now.Add(10 * time.Second)})
		send(ErrNoLease)
		time.Sleep(time.Second)
		send(nil)
		s.SetLease(OrderLease{Fencing: 3, Until: now.Add(time.Hour)})
		time.Sleep(7*time.Second - time.Nanosecond)
		send(nil)
		time.Sleep(time.Nanosecond)
		send(ErrNotSent)
		if len(engine.received) != 2 || engine.received[0].Fencing != 4 || engine.received[1].Fencing != 4 {
			t.Errorf("orders %+v", engine.received)
		}
	})
}

// Guards against an order that is written after the lease has expired because the
// process paused between the lease check and connecting.
func TestFencedSenderChecksLeaseBeforeWriting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		received := 0
		client := NewEngineClient(EngineConfig{BaseURL: "http://engine", ProgressTimeout: time.Hour, Dial: func(context.Context, string, string) (net.Conn, error) {
			time.Sleep(20 * time.Second) // a pause that the context's deadline does not interrupt
			local, remote := net.Pipe()
			go func() {
				n, _ := remote.Read(make([]byte, 1))
				received += n
			}()
			return local, nil
		}})
		s := NewFencedSender(withoutDeadline{client}, time.Second)
		s.SetLease(OrderLease{Fencing: 1, Until: time.Now().Add(10 * time.Second)})
		err := s.Send(t.Context(), Order{Kind: OrderSetRole})
		if !errors.Is(err, ErrNotSent) || !errors.Is(err, ErrNoLease) {
			t.Errorf("got %v, want ErrNotSent and ErrNoLease", err)
		}
		synctest.Wait()
		if received != 0 {
			t.Errorf("%d bytes were sent", received)
		}
	})
}

// withoutDeadline removes the deadline, since a pause of the process also delays
// its timers.
type withoutDeadline struct{ Engine }

func (p withoutDeadline) Order(ctx context.Context, order Order) error {
	return p.Engine.Order(context.WithoutCancel(ctx), order)
}

// Guards against a caller that sends its body or reads the response slowly and is
// mistaken for an unresponsive upstream.
func TestSlowCallerIsNotProgressTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pipe network.Pipe
		listener, _ := pipe.Listen(t.Context())
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			buffer := make([]byte, 16)
			for {
				n, err := r.Body.Read(buffer)
				_, _ = w.Write(buffer[:n])
				if err != nil {
					return
				}
			}
		})}
		go func() { _ = server.Serve(listener) }() // ends with Close
		defer func() { _ = server.Close() }()
		client := NewPlainClient(PlainConfig{BaseURL: "http://service", ProgressTimeout: time.Second, Dial: pipe.Dial})
		resp, err := client.Call(t.Context(), http.MethodPost, "/", nil, &slowReader{left: 3, pause: 5 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "xxx" {
			t.Errorf("got %q, %v", body, err)
		}
		if err := resp.Body.Close(); err != nil {
			t.Error(err)
		}
	})
}

// slowReader returns single bytes with a pause before each.
type slowReader struct {
	left  int
	pause time.Duration
}

func (r *slowReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(r.pause)
	r.left--
	p[0] = 'x'
	return 1, nil
}
