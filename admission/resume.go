package admission

import "time"

// Resumption is how a cancelled sequence continues later.
type Resumption int

// Ways to resume.
const (
	Recompute Resumption = iota // prompt and generated tokens are computed again
	ExportKV                    // the KV cache is exported and imported
)

// KVTransfer is the cost of moving a KV cache through export and import.
type KVTransfer struct {
	BytesPerToken  int
	BytesPerSecond float64       // of the slower of export and import
	Overhead       time.Duration // fixed cost of both commands
}

// ChooseResumption chooses the faster way to resume a sequence. cachedTokens is the part
// of the prompt in the cache of the engine that will continue. A zero Transfer
// means that the engine can't export.
func ChooseResumption(m StepModel, promptTokens, produced, cachedTokens int, t KVTransfer) Resumption {
	if t.BytesPerSecond <= 0 {
		return Recompute
	}
	recompute := m.prompt(max(0, promptTokens+produced-cachedTokens))
	bytes := float64(promptTokens+produced) * float64(t.BytesPerToken)
	move := t.Overhead + 2*seconds(bytes/t.BytesPerSecond)
	if recompute > move {
		return ExportKV
	}
	return Recompute
}
