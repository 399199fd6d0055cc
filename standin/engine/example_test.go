package engine_test

import (
	"fmt"
	"time"

	"github.com/magnoliausher/magnoliausher/standin/engine"
)

// The caller steps the model up to the time of each event before it submits or
// cancels a sequence.
func ExampleModel() {
	m := engine.NewModel(engine.ModelConfig{Seed: 1})
	arrivals := []time.Duration{0, 5 * time.Millisecond}
	for i, at := range arrivals {
		stepUntil(m, at)
		seq := engine.Sequence{ID: fmt.Sprint("r", i+1), PromptTokens: 100, OutputTokens: 2}
		if err := m.Submit(at, seq); err != nil {
			fmt.Println(err)
		}
	}
	stepUntil(m, time.Second)
	// Output:
	// 22.6ms r1 token 0 last false
	// 45.8ms r1 token 1 last true
	// 45.8ms r2 token 0 last false
	// 58.4ms r2 token 1 last true
}

func stepUntil(m *engine.Model, at time.Duration) {
	for {
		end, ok := m.Next()
		if !ok || end > at {
			return
		}
		for _, out := range m.Step() {
			fmt.Println(end, out.ID, "token", out.Index, "last", out.Last)
		}
	}
}
