package jobrow

// Outcome says what became of a write that failed or got no response.
type Outcome uint8

// Outcomes of a write.
const (
	// Pending: the row has not changed; the write may still take effect.
	Pending Outcome = iota
	// Performed: the write took effect.
	Performed
	// Overtaken: an earlier write, whose response was lost, took effect after the row
	// was last known. The results that it listed must be learned before the next write.
	Overtaken
	// Lost: the job was cancelled, or another process owns it.
	Lost
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string { return [...]string{"pending", "performed", "overtaken", "lost"}[o] }

// Resolve determines the outcome of a write from the row that was read after it. Held
// is the row that the process self knew when it made the draft. A process that has
// taken a job over also continues the writes of the owner that handed it over.
func Resolve(held Row, draft Draft, read Row, self Process) Outcome {
	switch {
	case read.version <= held.version:
		return Pending
	case draft.next.Commit == read.job.Commit:
		return Performed
	case read.job.Ended:
		return Lost
	case read.job.OwnedBy(self), read.job.SameOwner(&held.job):
		return Overtaken
	}
	return Lost
}

// Offer says what to do with a job that another process hands over.
type Offer uint8

// Answers to an offer.
const (
	Accept  Offer = iota
	Repeat        // the job already runs here in the state offered
	Replace       // the job runs here in an older state, which the offer replaces
	Stale         // the job has a later state than the one offered
)

// String returns the name of the answer in logs and metrics.
func (o Offer) String() string { return [...]string{"accept", "repeat", "replace", "stale"}[o] }

// DecideOffer answers the offer of a job. Known is the latest row that this process
// has heard of, and running the row of the job as it runs here; each is the zero Row if
// there is none. An owner may hand over a row that its own late write has changed
// since; only rows of other owners make an offer stale.
func DecideOffer(offered, known, running Row) Offer {
	switch {
	case offered.job.Closed():
		return Stale
	case running.version > offered.version:
		return Stale
	case known.version > offered.version && (known.job.Closed() || known.job.Owner != "" && !known.job.SameOwner(&offered.job)):
		return Stale
	case running.version == 0:
		return Accept
	case running.version == offered.version:
		return Repeat
	}
	return Replace
}
