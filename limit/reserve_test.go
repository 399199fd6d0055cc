package limit

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against a reserve that takes all slots of a small service, or none of a large one.
func TestReserve(t *testing.T) {
	for _, c := range []struct{ slots, percent, want int }{
		{0, 6, 0}, {1, 6, 0}, {2, 6, 1}, {3, 6, 1}, {17, 6, 1}, {18, 6, 2}, {96, 6, 6}, {100, 6, 6},
		{0, 25, 0}, {1, 25, 0}, {2, 25, 1}, {4, 25, 1}, {8, 25, 2},
	} {
		if got := Reserve(c.slots, c.percent); got != c.want {
			t.Errorf("%d percent of %d slots: %d reserved, want %d", c.percent, c.slots, got, c.want)
		}
	}
	properties := gopter.NewProperties(nil)
	properties.Property("batch work can use a slot, and a further slot never takes more than itself", prop.ForAll(
		func(slots, percent int) bool {
			reserved, next := Reserve(slots, percent), Reserve(slots+1, percent)
			return reserved < slots && reserved <= next && next <= reserved+1
		}, gen.IntRange(1, 5000), gen.IntRange(0, 100)))
	properties.TestingRun(t)
}
