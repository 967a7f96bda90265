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

// followRetry is the pause before a lost primary is tried again.
const followRetry = 50 * time.Millisecond

// arrivalQueue bounds the entries that wait for their lag to pass.
const arrivalQueue = 4096

// arrival is an entry with the time at which it becomes visible.
type arrival struct {
	entry Entry
	due   time.Time
}

// replicate follows the primary that orders name until ctx ends.
func (u *Upstream) replicate(ctx context.Context) {
	var from source
	for {
		followCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func(from source) {
			defer close(done)
			u.followPrimary(followCtx, from)
		}(from)
		select {
		case <-ctx.Done():
			cancel()
			<-done
			return
		case from = <-u.follow:
			cancel()
			<-done
		}
	}
}

// followPrimary pulls from one primary, again and again, until ctx ends.
func (u *Upstream) followPrimary(ctx context.Context, from source) {
	if from.address == "" {
		return
	}
	for ctx.Err() == nil {
		if !u.cutOff.Load() {
			_ = u.pull(ctx, from)
		}
		select {
		case <-ctx.Done():
		case <-time.After(followRetry):
		}
	}
}

// pull streams entries from the primary until the stream breaks.
func (u *Upstream) pull(ctx context.Context, from source) error {
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
			return fmt.Errorf("emulator: decode line of terms: %w", err)
		}
		return u.rewind(ctx, lineage)
	}
	if resp.StatusCode != http.StatusOK {
		return errStatus(resp.StatusCode)
	}
	dec := gob.NewDecoder(resp.Body)
	var lineage tracker.Lineage
	if err := dec.Decode(&lineage); err != nil {
		return fmt.Errorf("emulator: decode line of terms: %w", err)
	}
	u.mu.Lock()
	u.lineage = lineage
	u.mu.Unlock()
	arrivals := make(chan arrival, arrivalQueue)
	go u.receive(ctx, dec, arrivals)
	return u.applyAll(ctx, arrivals, from.term)
}

// receive decodes entries and stamps them with the time they become visible.
func (u *Upstream) receive(ctx context.Context, dec *gob.Decoder, arrivals chan<- arrival) {
	defer close(arrivals)
	for {
		var e Entry
		if err := dec.Decode(&e); err != nil {
			return
		}
		select {
		case arrivals <- arrival{entry: e, due: time.Now().Add(u.Lag)}:
		case <-ctx.Done():
			return
		}
	}
}

func (u *Upstream) applyAll(ctx context.Context, arrivals <-chan arrival, term uint64) error {
	for a := range arrivals {
		if wait := time.Until(a.due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if u.cutOff.Load() {
			return nil
		}
		if err := u.applyEntry(ctx, a.entry, term); err != nil {
			return err
		}
	}
	return nil
}

// applyEntry applies one entry from a primary that is followed under a term,
// unless an order has fenced that term meanwhile. The entry itself may be of an
// earlier term.
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

// rewind drops the entries that are not on the primary's line of terms, by
// applying the others again to an empty database. What it shares with the
// primary stays in the log throughout.
func (u *Upstream) rewind(ctx context.Context, lineage tracker.Lineage) error {
	e, err := newEngine(u.Slots + 2)
	if err != nil {
		return err
	}
	u.mu.Lock()
	kept := u.log
	for len(kept) > 0 && lineage.Divergent(kept[len(kept)-1].Position) {
		kept = kept[:len(kept)-1]
	}
	u.mu.Unlock()
	for _, entry := range kept {
		if err := e.apply(ctx, entry.Writes); err != nil {
			e.close()
			return err
		}
	}
	u.mu.Lock()
	old := u.engine
	u.engine = e
	u.log = slices.Clone(kept)
	u.position = tracker.Position{}
	if len(kept) > 0 {
		u.position = kept[len(kept)-1].Position
	}
	u.lineage = lineage
	u.mu.Unlock()
	u.socks.closeAll()
	old.close()
	return nil
}
