package admission

import "github.com/hashicorp/golang-lru/v2/simplelru"

// maxCallerTurns bounds the remembered turns of callers without running work.
const maxCallerTurns = 1024

// CallerUsage counts what each caller has running and when it last had a turn.
type CallerUsage struct {
	running map[string]int
	turns   *simplelru.LRU[string, uint64]
	turn    uint64
}

// NewCallerUsage returns empty counts.
func NewCallerUsage() *CallerUsage {
	turns, err := simplelru.NewLRU[string, uint64](maxCallerTurns, nil)
	if err != nil { // only for a size below 1
		panic(err)
	}
	return &CallerUsage{running: make(map[string]int), turns: turns}
}

// Started counts one more online sequence of the caller.
func (c *CallerUsage) Started(caller string) {
	c.running[caller]++
	c.turn++
	c.turns.Add(caller, c.turn)
}

// Ended counts one online sequence less.
func (c *CallerUsage) Ended(caller string) {
	if c.running[caller] <= 1 {
		delete(c.running, caller)
		return
	}
	c.running[caller]--
}

// Running is the number of online sequences of the caller.
func (c *CallerUsage) Running(caller string) int { return c.running[caller] }

// lastTurn is higher for a caller served later, 0 for one not served lately.
func (c *CallerUsage) lastTurn(caller string) uint64 {
	turn, _ := c.turns.Peek(caller)
	return turn
}
