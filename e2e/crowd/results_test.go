package crowd

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/platform/platformtest"
)

const (
	resultJobs  = 8
	resultItems = 200
	// resultEvents events of resultEventBytes make 16 KB for each item.
	resultEvents     = 8
	resultEventBytes = 2 << 10
	largeBodyJobs    = 12
	largeBodyBytes   = 2 << 20
)

// postJob hands in a job until it is accepted.
func (g *gateway) postJob(id string, body []byte) {
	g.t.Helper()
	var status int
	for deadline := time.Now().Add(answerLimit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		request, err := http.NewRequest(http.MethodPost, "http://"+g.listen+"/notes/x", strings.NewReader(string(body)))
		if err != nil {
			g.t.Fatal(err)
		}
		platformtest.PrepareRequest(request, id, host, 0)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		status = response.StatusCode
		response.Body.Close()
		if status == http.StatusAccepted {
			return
		}
	}
	g.t.Fatalf("job %s: status %d", id, status)
}

// readResults reads a page of results and returns how many it has.
func (g *gateway) readResults(job string, after int) (int, error) {
	body, err := g.get(fmt.Sprintf("/magnoliausher/lots/%s?after=%d", job, after))
	if err != nil {
		return 0, err
	}
	var page struct {
		Total, Next int
		Results     []json.RawMessage
	}
	if err := json.Unmarshal(body, &page); err != nil || page.Total != resultItems || page.Next != after+len(page.Results) {
		return 0, fmt.Errorf("a page of %d bytes: total %d, next %d after %d, %d results, %v", len(body), page.Total, page.Next, after, len(page.Results), err)
	}
	return len(page.Results), nil
}

func (g *gateway) get(path string) ([]byte, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+g.listen+path, nil)
	if err != nil {
		return nil, err
	}
	request.Host = host
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: answerLimit}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return body, err
}

// request returns the head of a request without a body.
func request(path string) []byte {
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, host)
}

// sipping makes a connection take bytes one small piece after the other until it is closed.
func sipping(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // an error shows when reading
	piece := make([]byte, 1<<10)
	for {
		if _, err := conn.Read(piece); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against memory that grows with callers that read results of batch items, or
// bodies of items, slowly or not at all, and against such callers that keep an ordinary
// one from its results.
func TestSlowReadersOfResults(t *testing.T) {
	for name, read := range map[string]func(net.Conn){"slow": sipping, "not at all": func(net.Conn) {}} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t)
			g.engine.Slots, g.engine.Events, g.engine.Interval = 64, resultEvents, time.Millisecond
			g.engine.TextPrefix = strings.Repeat("w", resultEventBytes)
			g.engine.Register(g.store, "ready", g.engine.Address())
			small := encodeJob(t, resultItems, 60<<10)
			for n := range resultJobs {
				g.postJob(fmt.Sprint("job", n), small)
			}
			for n := range resultJobs {
				for deadline := time.Now().Add(answerLimit); ; time.Sleep(50 * time.Millisecond) {
					if got, err := g.readResults(fmt.Sprint("job", n), resultItems-1); err == nil && got == 1 {
						break
					} else if time.Now().After(deadline) {
						t.Fatalf("job %d is not done: %v\n%s", n, err, g.log)
					}
				}
			}
			g.engine.Interval = time.Hour // the large items stay open, so that their bodies can be read
			for n := range largeBodyJobs {
				g.postJob(fmt.Sprint("large", n), encodeJob(t, 1, largeBodyBytes))
			}
			crowd(t, g.listen, readers, func(w io.Writer, n int) error {
				path := fmt.Sprintf("/magnoliausher/lots/job%d?after=%d", n%resultJobs, n*13%(resultItems/2))
				if n%4 == 0 {
					path = fmt.Sprintf("/magnoliausher/items/large%d?id=i0", n/4%largeBodyJobs)
				}
				err := writeAll(w, request(path))
				go read(w.(net.Conn))
				return err
			})
			began := time.Now()
			g.check(func() error {
				if got, err := g.readResults("job0", resultItems/2); err != nil || got == 0 {
					return fmt.Errorf("%d results: %w", got, err)
				}
				return g.ordinary()
			})
			t.Logf("the ordinary reader was served %v after the crowd", time.Since(began)-settleTime)
		})
	}
}
