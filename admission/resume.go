package admission

import "time"

// Resumption is the way in which a cancelled sequence is resumed.
type Resumption int

// Values of Resumption.
const (
	Recompute Resumption = iota // recompute the prompt and the generated tokens
	ExportKV                    // export and import the KV cache
)

// KVTransfer is the cost of moving a KV cache through export and import.
type KVTransfer struct {
	BytesPerToken  int
	BytesPerSecond float64       // rate of the slower of export and import
	Overhead       time.Duration // fixed cost of both commands
}

// ChooseResumption returns the faster way to resume a sequence. cachedTokens is the
// part of the prompt cached at the engine that will resume it. A zero KVTransfer
// means that the engine cannot export.
func ChooseResumption(m StepModel, promptTokens, produced, cachedTokens int, t KVTransfer) Resumption {
	if t.BytesPerSecond <= 0 {
		return Recompute
	}
	recompute := m.prefill(max(0, promptTokens+produced-cachedTokens))
	bytes := float64(promptTokens+produced) * float64(t.BytesPerToken)
	transferTime := t.Overhead + 2*seconds(bytes/t.BytesPerSecond)
	if recompute > transferTime {
		return ExportKV
	}
	return Recompute
}
