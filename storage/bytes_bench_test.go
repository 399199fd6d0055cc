package storage_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	standin "github.com/magnoliausher/magnoliausher/standin/platform"
	"github.com/magnoliausher/magnoliausher/storage"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	count *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.Add(int64(n))
	return n, err
}

// newCountedClient returns a stand-in platform, a client of it, and the number of
// bytes on the client's connections.
func newCountedClient(b *testing.B) (*standin.Platform, *storage.Client, *atomic.Int64) {
	p := standin.New(standin.Config{})
	server := httptest.NewServer(p.Handler())
	b.Cleanup(server.Close)
	count := new(atomic.Int64)
	dialer := &net.Dialer{}
	client, err := storage.NewClient(storage.ClientConfig{BaseURL: server.URL, Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			return countingConn{Conn: conn, count: count}, err
		},
	}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(client.Close)
	return p, client, count
}

// BenchmarkScan measures a scan of small rows and its bytes including HTTP headers.
func BenchmarkScan(b *testing.B) {
	for _, n := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprintf("rows=%d", n), func(b *testing.B) {
			p, client, count := newCountedClient(b)
			for i := range n {
				write := storage.Write{Key: fmt.Sprintf("running/version/%03d", i), Value: []byte("1")}
				if _, err := p.Commit(b.Context(), storage.Transaction{Writes: []storage.Write{write}}); err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				rows, err := client.Scan(b.Context(), "running/version/", "", n)
				if err != nil || len(rows) != n {
					b.Fatalf("%d rows, error %v", len(rows), err)
				}
			}
			b.ReportMetric(float64(count.Load())/float64(b.N), "wire-B/op")
		})
	}
}

// BenchmarkInstances measures a read of a changed list and its bytes, and the
// bytes of a read of an unchanged list.
func BenchmarkInstances(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			p, client, count := newCountedClient(b)
			list := make([]storage.Instance, n)
			for i := range list {
				list[i] = storage.Instance{
					ID: fmt.Sprintf("agent-%04d", i), Role: storage.RoleAgent, DataCentre: "mvd-a",
					Address: fmt.Sprintf("10.%d.%d.20:9443", i/250, i%250), Service: "model-07", State: storage.InstanceLive,
				}
			}
			p.SetInstances(list)
			var revision uint64
			for b.Loop() {
				got, r, err := client.Instances(b.Context(), 0)
				if err != nil || len(got) != n {
					b.Fatalf("%d instances, error %v", len(got), err)
				}
				revision = r
			}
			b.ReportMetric(float64(count.Load())/float64(b.N), "wire-B/op")
			count.Store(0)
			if _, _, err := client.Instances(b.Context(), revision); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(count.Load()), "unchanged-B")
		})
	}
}
