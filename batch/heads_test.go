package batch_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/batch"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/platform/platformtest"
)

// rawAnswer is what an engine sends before it ends the connection, with a reset or regularly.
type rawAnswer struct {
	text  string
	reset bool
}

// answerHead returns the beginning of an answer to an item, with further header lines.
func answerHead(id, lines string) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + platformtest.RequestIDHeader + ": " + id + "\r\n" +
		platformtest.SignatureHeader + ": seal\r\n" + lines + "\r\n"
}

// answerWithLength returns a whole answer to a call that goes on after an event.
func answerWithLength(id string, after, events int) rawAnswer {
	text := eventsAfter(id, after, events)
	return rawAnswer{text: answerHead(id, fmt.Sprintf("Content-Length: %d\r\n", len(text))) + text}
}

func eventsAfter(id string, after, events int) (text string) {
	for n := after + 1; n <= events; n++ {
		text += platformtest.EventText(id, n)
	}
	return text
}

// startWithRawEngine starts a gateway with one engine, which answers the nth call of an
// item with what respond returns.
func startWithRawEngine(t *testing.T, slots int, respond func(id string, call, after int) rawAnswer) *gateway {
	t.Helper()
	var mu sync.Mutex
	calls := make(map[string]int)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(platformtest.RequestIDHeader)
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // empty at first
		mu.Lock()
		calls[id]++
		a := respond(id, calls[id], after)
		mu.Unlock()
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = fmt.Fprint(conn, a.text)
		if a.reset {
			time.Sleep(10 * time.Millisecond) // lets the text be read
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}))
	t.Cleanup(engine.Close)
	g := start(t, newStore(t), "a", 1, noPeers)
	g.holder.Replace([]fleet.Record{{Version: 1, Upstream: fleet.Upstream{ID: "e", Service: "s",
		Address: strings.TrimPrefix(engine.URL, "http://"), Slots: slots}}}, 200, time.Now())
	return g
}

// Guards against an item that is done with a part of its output when an engine stops at any byte of its answer.
func TestItemCutAtEachByteIsNotDone(t *testing.T) {
	const events = 2
	framed := func(id, framing string) (text string, length int) {
		body := eventsAfter(id, 0, events)
		switch framing {
		case "length":
			head := answerHead(id, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
			return head + body, len(head)
		case "chunked":
			head := "HTTP/1.1 102 Processing\r\n\r\n" + answerHead(id, "Transfer-Encoding: chunked\r\n")
			return head + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), len(head)
		}
		head := strings.ReplaceAll(answerHead(id, "X: a\r\n b\r\n"), "\r\n", "\n")
		return head + body, len(head)
	}
	for _, framing := range []string{"length", "chunked", "end of the connection"} {
		t.Run(framing, func(t *testing.T) {
			longest, _ := framed("j-999", framing)
			g := startWithRawEngine(t, 32, func(id string, call, after int) rawAnswer {
				text, head := framed(id, framing)
				n, _ := strconv.Atoi(strings.TrimPrefix(id, "j-"))
				cut, reset := min(n/2, len(text)), n%2 == 1
				if framing == "end of the connection" && !reset && cut > head && strings.HasSuffix(text[:cut], "\n\n") {
					reset = true // a regular end behind an event would end the answer
				}
				if call > 1 {
					return answerWithLength(id, after, events)
				}
				return rawAnswer{text[:cut], reset}
			})
			items := 2*len(longest) + 2
			if got := submit(t, g, submission("j", items, 1)); got != batch.Accepted {
				t.Fatalf("got %v", got)
			}
			checkDone(t, awaitResults(t, g, "j", 30*time.Second), "j", items, events)
		})
	}
}

// Guards against an item that is done with a part of its output when the engine that resumes it stops behind its answer's head.
func TestResumptionWithoutEventsDoesNotEndAnItem(t *testing.T) {
	const events = 3
	for name, respond := range map[string]func(id string, call, after int) rawAnswer{
		"stopped after the head": func(id string, call, after int) rawAnswer {
			switch call {
			case 1:
				return rawAnswer{text: answerHead(id, "") + platformtest.EventText(id, 1), reset: true}
			case 2:
				return rawAnswer{text: answerHead(id, "")}
			}
			return answerWithLength(id, after, events)
		},
		"no event was left": func(id string, call, after int) rawAnswer {
			return rawAnswer{text: answerHead(id, "") + eventsAfter(id, after, events), reset: call == 1}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := startWithRawEngine(t, 4, respond)
			if got := submit(t, g, submission("j", 2, 10)); got != batch.Accepted {
				t.Fatalf("got %v", got)
			}
			checkDone(t, awaitResults(t, g, "j", 10*time.Second), "j", 2, events)
		})
	}
}
