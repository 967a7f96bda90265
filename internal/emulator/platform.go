package emulator

import (
	"context"
	"crypto/subtle"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// Order is the body of an order of the platform's interface.
type Order struct {
	Term uint64 `json:"term"`
	// PrimaryAddress is the platform address to follow.
	PrimaryAddress string `json:"primary_address,omitempty"`
}

type errStatus int

func (e errStatus) Error() string { return fmt.Sprintf("emulator: HTTP status %d", int(e)) }

// errTermPassed means that an order carries a term below one already seen.
type errTermPassed struct{ ordered, fenced uint64 }

func (e errTermPassed) Error() string {
	return fmt.Sprintf("emulator: term %d is below the fenced term %d", e.ordered, e.fenced)
}

func init() {
	gob.Register([]byte(nil))
	gob.Register(int64(0))
}

func (u *Upstream) platformHandler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { u.respond(w, nil) })
	mux.HandleFunc("POST /v1/inspect", u.orderHandler(func(Order) error { return nil }))
	mux.HandleFunc("POST /v1/fence", u.orderHandler(u.Fence))
	mux.HandleFunc("POST /v1/promote", u.orderHandler(u.Promote))
	mux.HandleFunc("POST /v1/follow", u.orderHandler(u.Follow))
	mux.HandleFunc("GET /v1/log", func(w http.ResponseWriter, r *http.Request) { u.serveLog(ctx, w, r) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if u.cutOff.Load() {
			panic(http.ErrAbortHandler)
		}
		want := "Bearer " + u.PlatformToken
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
			http.Error(w, "token is not valid", http.StatusUnauthorized)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (u *Upstream) orderHandler(obey func(Order) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o Order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		u.respond(w, obey(o))
	}
}

// respond writes the status, with HTTP 409 when an order was refused.
func (u *Upstream) respond(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(u.Status())
}

// Fence makes the upstream refuse entries and writes of terms below the
// order's term. Its position then only changes by a later order.
func (u *Upstream) Fence(o Order) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if err := u.checkTerm(o); err != nil {
		return err
	}
	if o.Term == u.fencedTerm {
		return nil
	}
	u.fencedTerm = o.Term
	u.role = RoleReplica
	u.followSource(source{})
	return nil
}

// checkTerm refuses an order of an earlier term than one already taken. The lock
// is held.
func (u *Upstream) checkTerm(o Order) error {
	if o.Term < u.fencedTerm {
		return errTermPassed{o.Term, u.fencedTerm}
	}
	return nil
}

// Promote makes the upstream the primary of the order's term.
func (u *Upstream) Promote(o Order) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if err := u.checkTerm(o); err != nil {
		return err
	}
	if u.role == RolePrimary && u.position.Term == o.Term {
		return nil
	}
	u.fencedTerm = o.Term
	u.role = RolePrimary
	u.lineage = u.lineage.Append(tracker.TermStart{Term: o.Term, Offset: u.position.Offset})
	u.append(Entry{Position: tracker.Position{Term: o.Term, Offset: u.position.Offset + 1}})
	u.followSource(source{})
	return nil
}

// Follow makes the upstream a replica of the primary of the order's term.
func (u *Upstream) Follow(o Order) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if err := u.checkTerm(o); err != nil {
		return err
	}
	u.fencedTerm = o.Term
	u.role = RoleReplica
	u.followSource(source{address: o.PrimaryAddress, term: o.Term})
	return nil
}

// source is a primary to follow, by an order of a term.
type source struct {
	address string
	term    uint64
}

// followSource replaces the primary that the replication loop follows.
func (u *Upstream) followSource(s source) {
	select {
	case <-u.follow:
	default:
	}
	u.follow <- s
}

// serveLog streams entries after the replica's position. It answers 409 and the
// line of terms when the replica holds entries outside of it.
func (u *Upstream) serveLog(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	term, err1 := strconv.ParseUint(r.URL.Query().Get("term"), 10, 64)
	offset, err2 := strconv.ParseUint(r.URL.Query().Get("offset"), 10, 64)
	if err1 != nil || err2 != nil {
		http.Error(w, "term and offset must be numbers", http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	divergent := u.lineage.Divergent(tracker.Position{Term: term, Offset: offset}) || offset > uint64(len(u.log))
	lineage := u.lineage
	primary := u.role == RolePrimary
	u.mu.Unlock()
	if !primary {
		http.Error(w, "not a primary", http.StatusServiceUnavailable)
		return
	}
	if divergent {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(lineage)
		return
	}
	enc := gob.NewEncoder(w)
	if err := enc.Encode(lineage); err != nil {
		return
	}
	for {
		u.mu.Lock()
		entries, changed := u.log[offset:], u.logChanged
		primary = u.role == RolePrimary
		u.mu.Unlock()
		if !primary || u.cutOff.Load() {
			return
		}
		for _, e := range entries {
			if err := enc.Encode(e); err != nil {
				return
			}
		}
		offset += uint64(len(entries))
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-ctx.Done():
			return
		}
	}
}
