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

// Order is the body of the platform API's inspect, fence, promote and follow
// requests. Its name appears in the errors of encoding/json that the API
// returns, so it must not change.
type Order struct {
	Term uint64 `json:"term"`
	// PrimaryAddress is the platform address of the primary to replicate from.
	PrimaryAddress string `json:"primary_address,omitempty"`
}

type errHTTPStatus int

func (e errHTTPStatus) Error() string { return fmt.Sprintf("emulator: HTTP status %d", int(e)) }

// errStaleTerm means that a request's term is below the fenced term.
type errStaleTerm struct{ requested, fenced uint64 }

func (e errStaleTerm) Error() string {
	return fmt.Sprintf("emulator: term %d is below the fenced term %d", e.requested, e.fenced)
}

func init() {
	gob.Register([]byte(nil))
	gob.Register(int64(0))
}

func (u *Upstream) platformHandler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { u.respond(w, nil) })
	mux.HandleFunc("POST /v1/inspect", u.requestHandler(func(Order) error { return nil }))
	mux.HandleFunc("POST /v1/fence", u.requestHandler(u.Fence))
	mux.HandleFunc("POST /v1/promote", u.requestHandler(u.Promote))
	mux.HandleFunc("POST /v1/follow", u.requestHandler(u.Follow))
	mux.HandleFunc("GET /v1/log", func(w http.ResponseWriter, r *http.Request) { u.serveLog(ctx, w, r) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if u.isolated.Load() {
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

func (u *Upstream) requestHandler(handle func(Order) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Order
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		u.respond(w, handle(req))
	}
}

// respond writes the upstream's status, with HTTP 409 if err is not nil.
func (u *Upstream) respond(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(u.Status())
}

// Fence makes the upstream reject log entries and writes of terms below the
// request's term. Its position stays fixed until a later Promote or Follow.
func (u *Upstream) Fence(req Order) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if err := u.checkTerm(req); err != nil {
		return err
	}
	if req.Term == u.fencedTerm {
		return nil
	}
	u.fencedTerm = req.Term
	u.role = RoleReplica
	u.setSource(replicationSource{})
	return nil
}

// checkTerm rejects a request whose term is below the fenced term. The caller
// holds u.mu.
func (u *Upstream) checkTerm(req Order) error {
	if req.Term < u.fencedTerm {
		return errStaleTerm{req.Term, u.fencedTerm}
	}
	return nil
}

// Promote makes the upstream the primary of the request's term.
func (u *Upstream) Promote(req Order) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if err := u.checkTerm(req); err != nil {
		return err
	}
	if u.role == RolePrimary && u.position.Term == req.Term {
		return nil
	}
	u.fencedTerm = req.Term
	u.role = RolePrimary
	u.lineage = u.lineage.Append(tracker.TermStart{Term: req.Term, Offset: u.position.Offset})
	u.append(Entry{Position: tracker.Position{Term: req.Term, Offset: u.position.Offset + 1}})
	u.setSource(replicationSource{})
	return nil
}

// Follow makes the upstream replicate from the primary of the request's term.
func (u *Upstream) Follow(req Order) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if err := u.checkTerm(req); err != nil {
		return err
	}
	u.fencedTerm = req.Term
	u.role = RoleReplica
	u.setSource(replicationSource{address: req.PrimaryAddress, term: req.Term})
	return nil
}

// replicationSource is a primary to replicate from and the term of the request
// that named it.
type replicationSource struct {
	address string
	term    uint64
}

// setSource replaces the primary that the replication loop follows. A pending
// replacement is dropped. The caller holds u.mu.
func (u *Upstream) setSource(s replicationSource) {
	select {
	case <-u.sources:
	default:
	}
	u.sources <- s
}

// serveLog streams the log entries after the replica's position. If the
// replica's log has diverged, it responds with HTTP 409 and the lineage.
func (u *Upstream) serveLog(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	term, err1 := strconv.ParseUint(r.URL.Query().Get("term"), 10, 64)
	offset, err2 := strconv.ParseUint(r.URL.Query().Get("offset"), 10, 64)
	if err1 != nil || err2 != nil {
		http.Error(w, "term and offset must be numbers", http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	divergent := u.lineage.HasDiverged(tracker.Position{Term: term, Offset: offset}) || offset > uint64(len(u.log))
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
		if !primary || u.isolated.Load() {
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
