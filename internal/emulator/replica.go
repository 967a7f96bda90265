package emulator

import (
	"context"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// followRetryDelay is the delay before reconnecting to a primary.
const followRetryDelay = 50 * time.Millisecond

// maxPendingEntries limits the received entries whose lag has not passed yet.
const maxPendingEntries = 4096

// pendingEntry is a received entry and the time at which it becomes visible.
type pendingEntry struct {
	entry     Entry
	visibleAt time.Time
}

// replicate replicates from the current source until ctx is done.
func (u *Upstream) replicate(ctx context.Context) {
	var from replicationSource
	for {
		followCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func(from replicationSource) {
			defer close(done)
			u.followPrimary(followCtx, from)
		}(from)
		select {
		case <-ctx.Done():
			cancel()
			<-done
			return
		case from = <-u.sources:
			cancel()
			<-done
		}
	}
}

// followPrimary replicates from one primary, reconnecting until ctx is done.
func (u *Upstream) followPrimary(ctx context.Context, from replicationSource) {
	if from.address == "" {
		return
	}
	for ctx.Err() == nil {
		if !u.isolated.Load() {
			_ = u.pull(ctx, from)
		}
		select {
		case <-ctx.Done():
		case <-time.After(followRetryDelay):
		}
	}
}

// pull receives and applies log entries from the primary until the stream ends.
func (u *Upstream) pull(ctx context.Context, from replicationSource) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pos := u.currentPosition()
	url := fmt.Sprintf("http://%s/v1/log?term=%d&offset=%d", from.address, pos.Term, pos.Offset)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("emulator: create log request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+u.PlatformToken)
	resp, err := u.httpClient().Do(req)
	if err != nil {
		return fmt.Errorf("emulator: request log: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusConflict {
		var lineage tracker.Lineage
		if err := json.NewDecoder(resp.Body).Decode(&lineage); err != nil {
			return fmt.Errorf("emulator: decode lineage: %w", err)
		}
		return u.rewind(ctx, lineage)
	}
	if resp.StatusCode != http.StatusOK {
		return errHTTPStatus(resp.StatusCode)
	}
	dec := gob.NewDecoder(resp.Body)
	var lineage tracker.Lineage
	if err := dec.Decode(&lineage); err != nil {
		return fmt.Errorf("emulator: decode lineage: %w", err)
	}
	u.mu.Lock()
	u.lineage = lineage
	u.mu.Unlock()
	pending := make(chan pendingEntry, maxPendingEntries)
	go u.receive(ctx, dec, pending)
	return u.applyAll(ctx, pending, from.term)
}

// receive decodes entries and sets the time at which each becomes visible.
func (u *Upstream) receive(ctx context.Context, dec *gob.Decoder, pending chan<- pendingEntry) {
	defer close(pending)
	for {
		var e Entry
		if err := dec.Decode(&e); err != nil {
			return
		}
		select {
		case pending <- pendingEntry{entry: e, visibleAt: time.Now().Add(u.Lag)}:
		case <-ctx.Done():
			return
		}
	}
}

func (u *Upstream) applyAll(ctx context.Context, pending <-chan pendingEntry, term uint64) error {
	for p := range pending {
		if wait := time.Until(p.visibleAt); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if u.isolated.Load() {
			return nil
		}
		if err := u.applyEntry(ctx, p.entry, term); err != nil {
			return err
		}
	}
	return nil
}

// applyEntry applies one entry from the primary of the given term, unless that
// term has been fenced since. The entry itself may be of an earlier term.
func (u *Upstream) applyEntry(ctx context.Context, e Entry, term uint64) error {
	if err := u.engine.lockWriter(ctx); err != nil {
		return err
	}
	defer u.engine.unlockWriter()
	u.mu.Lock()
	defer u.mu.Unlock()
	if ctx.Err() != nil || term < u.fencedTerm || e.Position.Offset != u.position.Offset+1 {
		return ctx.Err()
	}
	if err := u.engine.apply(context.WithoutCancel(ctx), e.Writes); err != nil {
		return err
	}
	u.append(e)
	return nil
}

// rewind discards the entries that diverge from the primary's lineage by applying
// the remaining ones to an empty database. The common prefix stays in the log
// throughout.
func (u *Upstream) rewind(ctx context.Context, lineage tracker.Lineage) error {
	e, err := newEngine(u.Slots + 2)
	if err != nil {
		return err
	}
	u.mu.Lock()
	retained := u.log
	for len(retained) > 0 && lineage.HasDiverged(retained[len(retained)-1].Position) {
		retained = retained[:len(retained)-1]
	}
	u.mu.Unlock()
	for _, entry := range retained {
		if err := e.apply(ctx, entry.Writes); err != nil {
			e.close()
			return err
		}
	}
	u.mu.Lock()
	old := u.engine
	u.engine = e
	u.log = slices.Clone(retained)
	u.position = tracker.Position{}
	if len(retained) > 0 {
		u.position = retained[len(retained)-1].Position
	}
	u.lineage = lineage
	u.mu.Unlock()
	u.openConns.closeAll()
	old.close()
	return nil
}
