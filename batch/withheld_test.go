package batch_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/batch"
)

// lockedBuffer collects log lines.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Guards against items that wait without a line that tells why.
func TestLogTellsWhyNoItemStarts(t *testing.T) {
	store := newStore(t)
	var log lockedBuffer
	g := startWithConfig(t, store, "a", 1, noPeers, func(c *batch.Config) { c.Log = zerolog.New(&log) })
	submit(t, g, submission("j", 2, 10))
	const line = `"job":"j","request":"j-0","service":"s","upstreams":0,"slots":0,"free_slots":0,"reserved":0,"message":"no item has started"`
	for deadline := time.Now().Add(5 * time.Second); !strings.Contains(log.String(), line); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no such line in %s", log.String())
		}
	}
}
