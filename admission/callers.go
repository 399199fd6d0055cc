package admission

import "github.com/hashicorp/golang-lru/v2/simplelru"

// maxRecentCallers bounds the callers whose last start is kept.
const maxRecentCallers = 1024

// CallerUsage tracks the running online sequences of each caller and the order in
// which callers last started one.
type CallerUsage struct {
	running    map[string]int
	lastStarts *simplelru.LRU[string, uint64]
	starts     uint64
}

// NewCallerUsage returns a CallerUsage without sequences.
func NewCallerUsage() *CallerUsage {
	lastStarts, err := simplelru.NewLRU[string, uint64](maxRecentCallers, nil)
	if err != nil { // only for a size below 1
		panic(err)
	}
	return &CallerUsage{running: make(map[string]int), lastStarts: lastStarts}
}

// Started adds an online sequence of the caller.
func (c *CallerUsage) Started(caller string) {
	c.running[caller]++
	c.starts++
	c.lastStarts.Add(caller, c.starts)
}

// Ended removes an online sequence of the caller.
func (c *CallerUsage) Ended(caller string) {
	if c.running[caller] <= 1 {
		delete(c.running, caller)
		return
	}
	c.running[caller]--
}

// Running returns the number of the caller's online sequences.
func (c *CallerUsage) Running(caller string) int { return c.running[caller] }

// lastStart returns the sequence number of the caller's last start, or 0 if it has
// none on record.
func (c *CallerUsage) lastStart(caller string) uint64 {
	start, _ := c.lastStarts.Peek(caller)
	return start
}
