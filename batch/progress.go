package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/event"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/memory"
	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/storage"
)

const (
	// checkpointInterval limits the events of an item that are lost with its owner,
	// to about 35 of the 170 events that an item has.
	checkpointInterval = time.Second
	// checkpointMinEvents is the minimum number of new events before an item is saved
	// again; generating them takes about half a second.
	checkpointMinEvents = 16
	// progressScanRows is the number of rows per scan. With maxPartBytes of output
	// each, in base64, they stay below the 1 MB limit of an answer.
	progressScanRows = 16
)

// progress is the part of an item's answer received so far. Its fields are
// encoded under their Go names.
type progress struct {
	LastID string // ID of the last event received, which may have no data
	Events int    // events with data
	// SoftwareVersion of the upstreams that sent the events; only one of it can resume the
	// item. Checkpoints of earlier builds have none.
	SoftwareVersion string
	Sources         []source `json:",omitempty"` // of the events
	Output          []byte   `json:"-"`          // data of the events, joined by line feeds; stored after the JSON
}

// position tells how far an answer has come. It is zero before the first event.
type position struct {
	events int    // events with data
	lastID string // of the last event, with or without data
}

func (p *progress) position() position { return position{p.Events, p.LastID} }

// begun reports whether the progress holds any event, so that only upstreams of its
// software version can go on with it.
func (p *progress) begun() bool { return p.position() != position{} }

// source is an incarnation of an upstream, as the list named it when it sent events.
type source struct {
	Upstream string // id
	Started  int64  // Unix ms; 0 if not reported
}

// doubtful reports whether a part of the events may come from a later incarnation than the
// list named then, with another software version.
func (p *progress) doubtful(view *fleet.View) bool {
	return slices.ContainsFunc(p.Sources, func(s source) bool {
		return slices.ContainsFunc(view.Records, func(r fleet.Record) bool { // also of removed entries
			return r.ID == s.Upstream && r.Started > s.Started && r.SoftwareVersion != p.SoftwareVersion
		})
	})
}

// itemProgress guards an item's progress, which the running attempt writes and
// other goroutines read.
type itemProgress struct {
	mu      sync.Mutex
	current progress
	saved   int           // number of events in the last checkpoint
	share   *memory.Share // of the output; kept until the result is listed
}

// errOtherVersion ends an attempt whose event does not continue what is held.
var errOtherVersion = errors.New("the event comes from another software version")

// errOutputTooLong ends an attempt whose output exceeds maxItemOutputBytes.
var errOutputTooLong = errors.New("output exceeds the maximum size")

// addEvent appends one event of an upstream. After an error the event is not part of the
// progress.
func (g *itemProgress) addEvent(e *event.Event, u *fleet.Upstream) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current.begun() && g.current.SoftwareVersion != u.SoftwareVersion {
		return errOtherVersion
	}
	if data, ok := e.Data(); ok {
		if err := g.appendData(data); err != nil {
			return err
		}
	}
	g.current.SoftwareVersion = u.SoftwareVersion
	if from := (source{u.ID, u.Started}); !slices.Contains(g.current.Sources, from) {
		g.current.Sources = append(g.current.Sources, from)
	}
	if e.ID != "" {
		g.current.LastID = e.ID
	}
	return nil
}

// appendData appends the data of one event, which may be empty, to the output. The
// caller holds g.mu.
func (g *itemProgress) appendData(data []byte) error {
	size := len(g.current.Output) + 1 + len(data)
	if size > maxItemOutputBytes {
		return errOutputTooLong
	}
	if err := g.share.Resize(size); err != nil {
		return err
	}
	if g.current.Events > 0 {
		g.current.Output = append(g.current.Output, '\n')
	}
	g.current.Output = append(g.current.Output, data...)
	g.current.Events++
	return nil
}

// snapshot returns a copy of the progress and the number of checkpointed events.
func (g *itemProgress) snapshot() (progress, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.current
	p.Output = bytes.Clone(p.Output)
	return p, g.saved
}

func (g *itemProgress) events() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current.Events
}

func (g *itemProgress) position() position {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current.position()
}

func (g *itemProgress) outputSize() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.current.Output)
}

func (g *itemProgress) lastID() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current.LastID
}

// doubtful reports whether the progress may come from two software versions.
func (g *itemProgress) doubtful(view *fleet.View) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current.doubtful(view)
}

// resumableAt returns which upstreams can go on with the item, nil for all.
func (g *itemProgress) resumableAt() func(*fleet.Upstream) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.current.begun() {
		return nil
	}
	version := g.current.SoftwareVersion
	return func(u *fleet.Upstream) bool { return u.SoftwareVersion == version }
}

// advance replaces the progress if p has more events and does not come from another
// software version.
func (g *itemProgress) advance(p progress, saved int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current.begun() && g.current.SoftwareVersion != p.SoftwareVersion {
		return
	}
	if p.Events > g.current.Events {
		_ = g.share.Resize(len(p.Output)) // as in account
		g.current, g.saved = p, saved
	}
}

func (g *itemProgress) markSaved(events int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.saved = events
}

// reset discards the progress. The item goes on to hold the given bytes of a result.
func (g *itemProgress) reset(held int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.current, g.saved = progress{}, 0
	_ = g.share.Resize(held) // a result is no longer than the progress that it comes from
}

// account makes the item take its memory from a share of a budget.
func (g *itemProgress) account(share *memory.Share) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.share = share
	_ = g.share.Resize(len(g.current.Output)) // what a predecessor handed over stays; only growth fails
}

// progressPrefix returns the key prefix of a job's checkpoints. They are stored in
// a partition of their own, since they need not be atomic with the job's row and
// must not slow down the writes of other jobs.
func progressPrefix(job string) string { return url.PathEscape(job) + "/progress/" }

func progressKey(job string, index int) string {
	return fmt.Sprintf("%s%06d", progressPrefix(job), index)
}

// encodeProgress returns the value of a checkpoint row: one line of JSON, then the output.
func encodeProgress(p *progress) []byte {
	header, err := json.Marshal(p)
	if err != nil {
		panic(err) // unreachable: a struct of strings and numbers always encodes
	}
	return append(append(header, '\n'), p.Output...)
}

func decodeProgress(job string, r storage.Row) (int, progress, error) {
	index, err := strconv.Atoi(strings.TrimPrefix(r.Key, progressPrefix(job)))
	if err != nil {
		return 0, progress{}, trace.Wrap(err, "checkpoint key %q", r.Key)
	}
	header, output, found := bytes.Cut(r.Value, []byte("\n"))
	var p progress
	if err := json.Unmarshal(header, &p); err != nil || !found || p.LastID == "" || p.Events <= 0 {
		return 0, progress{}, trace.BadParameter("malformed checkpoint %q", r.Key)
	}
	p.Output = output
	return index, p, nil
}

// checkpointJobs periodically saves the progress of the items of running jobs
// until ctx ends, so that the next owner can resume them.
func (s *Service) checkpointJobs(ctx context.Context) error {
	for pause.For(ctx, checkpointInterval/2+rand.N(checkpointInterval)) {
		if !s.mirror.isCurrent(time.Now()) {
			continue // the store is unavailable
		}
		for _, r := range s.runningJobs() {
			s.saveProgress(ctx, r)
		}
	}
	return nil
}

func (s *Service) runningJobs() []*runningJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*runningJob, 0, len(s.running))
	for _, r := range s.running {
		list = append(list, r)
	}
	return list
}

// saveProgress writes checkpoints of a job's items. The writes are unconditional:
// each row holds a prefix of one item's answer and the event to resume after, so
// it is valid whichever gateway wrote it.
func (s *Service) saveProgress(ctx context.Context, r *runningJob) {
	var tx storage.Transaction
	events := make(map[int]int) // number of events saved, by item index
	size := 0
	s.mu.Lock()
	for i := range r.items {
		ri := &r.items[i]
		if ri.state >= itemFinished {
			continue
		}
		if ri.outputSize() > maxPartBytes {
			continue
		}
		p, saved := ri.snapshot()
		if p.LastID == "" || p.Events-saved < checkpointMinEvents {
			continue
		}
		if len(tx.Writes) >= maxCommitRows || size > maxCommitBytes {
			break // the remaining items are saved in the next round
		}
		size += len(p.Output)
		events[i] = p.Events
		tx.Writes = append(tx.Writes, storage.Write{Key: progressKey(r.submission.ID, i), Value: encodeProgress(&p), Always: true})
	}
	s.mu.Unlock()
	if len(tx.Writes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := s.cfg.Table.Commit(ctx, tx); err != nil {
		s.cfg.Log.Warn().Err(err).Str("job", r.submission.ID).Int("items", len(tx.Writes)).Msg("failed to save progress; retrying in the next round")
		return
	}
	for i, n := range events {
		r.items[i].markSaved(n)
	}
}

// loadProgress restores the unfinished items of a job from their checkpoints.
func (s *Service) loadProgress(ctx context.Context, r *runningJob) error {
	items, events := 0, 0
	for after := ""; ; {
		rows, err := s.cfg.Table.Scan(ctx, progressPrefix(r.submission.ID), after, progressScanRows)
		if err != nil {
			return err
		}
		for _, row := range rows {
			index, p, err := decodeProgress(r.submission.ID, row)
			if err != nil || index >= len(r.items) {
				s.cfg.Log.Error().Err(err).Str("job", r.submission.ID).Str("key", row.Key).Msg("ignored an invalid checkpoint; its item restarts from the beginning")
				continue
			}
			if r.items[index].state < itemFinished {
				r.items[index].advance(p, p.Events)
				items, events = items+1, events+p.Events
			}
		}
		if len(rows) < progressScanRows {
			break
		}
		after = rows[len(rows)-1].Key
	}
	if items > 0 {
		s.cfg.Log.Info().Str("job", r.submission.ID).Int("items", items).Int("events", events).Msg("loaded the progress of an earlier owner")
	}
	return nil
}
