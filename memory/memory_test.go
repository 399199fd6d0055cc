package memory_test

import (
	"errors"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/magnoliausher/magnoliausher/memory"
)

// Guards against shares that add up to more than the budget, that are lost when answers
// end, or that keep a usual answer from its memory.
func TestShares(t *testing.T) {
	const budget, usual = 256 << 10, 32 << 10
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("long answers stay within the budget", prop.ForAll(func(sizes []int) bool {
		b := memory.NewBudget(budget)
		shares, held := make([]*memory.Share, 4), make([]int, 4)
		for i := range shares {
			shares[i] = b.Share()
		}
		for n, size := range sizes {
			i := n % len(shares)
			err := shares[i].Resize(size)
			if err == nil {
				held[i] = size
			} else if !errors.Is(err, memory.ErrExhausted) || size <= held[i] || size <= usual {
				return false
			}
			long := 0
			for _, bytes := range held {
				long += max(bytes-usual, 0)
			}
			if long > budget {
				return false
			}
		}
		for _, s := range shares {
			s.Release()
		}
		return b.Share().Resize(budget+usual) == nil && b.Share().Resize(usual+1) != nil
	}, gen.SliceOfN(40, gen.IntRange(0, 200<<10))))
	properties.TestingRun(t)
	var none *memory.Budget
	if err := none.Share().Resize(1 << 40); err != nil {
		t.Error(err)
	}
}

// Guards against a cache whose entries together take more than its limit, and against one
// that loses its count when an entry is replaced.
func TestCacheLimitsBytes(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("the entries used last are kept within the limits", prop.ForAll(func(sizes []int) bool {
		const maxBytes = 100
		c, err := memory.NewCache[int](4, maxBytes, func(size int) int64 { return int64(size) })
		if err != nil {
			return false
		}
		for i, size := range sizes {
			c.Add(i%6, size)
			if got, ok := c.Get(i % 6); !ok || got != size {
				return false
			}
			held, bytes := 0, 0
			for key := range 6 {
				if size, ok := c.Get(key); ok {
					held, bytes = held+1, bytes+size
				}
			}
			if held > 4 || bytes > maxBytes && held > 1 {
				return false
			}
		}
		c.Purge()
		for i := range 4 {
			c.Add(i, maxBytes/4)
		}
		_, kept := c.Get(0)
		return kept // nothing counts after a purge
	}, gen.SliceOf(gen.IntRange(1, 150))))
	properties.TestingRun(t)
}
