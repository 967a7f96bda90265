// Package operator implements the operator API of a control host, JSON over
// HTTP, and its client: intents, plans, comments, confirmations and the record.
//
// # Usage
//
//	h := operator.Handler{Controller: c, Credentials: credentials}
//	http.ListenAndServe(address, h.Routes())
//
// A control host that is not the leader responds with 421 (Misdirected Request)
// and the leader's ID; the client then tries another host.
package operator

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/shallotstage/shallotstage/internal/authenticator"
	"github.com/shallotstage/shallotstage/internal/controller"
	"github.com/shallotstage/shallotstage/pkg/planner"
)

const (
	// proposeTimeout is how long a handler waits for an operation to be
	// committed.
	proposeTimeout = 5 * time.Second
	// keyBytes is the number of random bytes in a new key.
	keyBytes     = 24
	maxBodyBytes = 64 << 10
)

// Credential authenticates one operator.
type Credential struct {
	Operator string `json:"operator"`
	// TokenSHA256 is the hexadecimal SHA-256 digest of the operator's token.
	TokenSHA256 string `json:"token_sha256"`
}

// TokenDigest returns the hexadecimal SHA-256 digest of an operator's token.
func TokenDigest(token string) string {
	d := sha256.Sum256([]byte(token))
	return hex.EncodeToString(d[:])
}

// Handler serves the operator API.
type Handler struct {
	Controller  *controller.Controller
	Credentials []Credential
}

// PlanResponse is the response to an intent or a request on a plan.
type PlanResponse struct {
	Plan planner.Plan `json:"plan"`
	// Key is a new key. It is not stored and cannot be requested again.
	Key string `json:"key,omitempty"`
}

// ErrorResponse is the body of every error response. Verdict states whether the
// operation may have been committed.
type ErrorResponse struct {
	Error   string `json:"error"`
	Verdict string `json:"verdict"`
	Leader  string `json:"leader,omitempty"`
}

// Remark is the body of a comment, a confirmation or a rejection. Its name
// appears in the errors of encoding/json that the API returns, so it must not
// change.
type Remark struct {
	Text string `json:"text"`
}

// Routes returns the handler for all paths of the API.
func (h Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", h.status)
	mux.HandleFunc("POST /v1/intents", h.authenticated(h.submitIntent))
	mux.HandleFunc("GET /v1/plans", h.authenticated(h.plans))
	mux.HandleFunc("GET /v1/plans/{id}", h.authenticated(h.plan))
	mux.HandleFunc("POST /v1/plans/{id}/comments", h.authenticated(h.planAction(planner.OperationComment)))
	mux.HandleFunc("POST /v1/plans/{id}/confirm", h.authenticated(h.planAction(planner.OperationConfirm)))
	mux.HandleFunc("POST /v1/plans/{id}/reject", h.authenticated(h.planAction(planner.OperationReject)))
	mux.HandleFunc("GET /v1/record", h.authenticated(h.record))
	mux.HandleFunc("GET /v1/levels", h.authenticated(h.serviceLevels))
	return mux
}

// authenticated requires an operator's bearer token and passes the operator's
// name to next.
func (h Handler) authenticated(next func(w http.ResponseWriter, r *http.Request, operator string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		digest := TokenDigest(token)
		for _, c := range h.Credentials {
			if ok && subtle.ConstantTimeCompare([]byte(digest), []byte(c.TokenSHA256)) == 1 {
				next(w, r, c.Operator)
				return
			}
		}
		writeJSON(w, http.StatusUnauthorized, ErrorResponse{Error: "operator's token is not valid", Verdict: "not_run"})
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeError responds to an error with the matching status and verdict.
func (h Handler) writeError(w http.ResponseWriter, r *http.Request, err error) {
	a := ErrorResponse{Error: err.Error(), Verdict: "not_run"}
	var conflict *planner.ConflictError
	switch {
	case errors.Is(err, controller.ErrNotLeader):
		if s, statusErr := h.Controller.Status(r.Context()); statusErr == nil {
			a.Leader = s.Leader
		}
		// The leadership may have been lost after the operation was
		// proposed; it is safe to resend it with the same ID.
		a.Verdict = "may_have_run"
		writeJSON(w, http.StatusMisdirectedRequest, a)
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, a)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, controller.ErrStopped):
		a.Verdict = "may_have_run"
		writeJSON(w, http.StatusServiceUnavailable, a)
	default:
		writeJSON(w, http.StatusBadRequest, a)
	}
}

func (h Handler) status(w http.ResponseWriter, r *http.Request) {
	s, err := h.Controller.Status(r.Context())
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	writeJSON(w, http.StatusOK, s)
}

// submitIntent proposes an intent. A new key is generated here and only its
// verifier is replicated; a resent intent gets its plan without the key.
func (h Handler) submitIntent(w http.ResponseWriter, r *http.Request, operator string) {
	var i planner.Intent
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&i); err != nil {
		writeJSON(w, http.StatusBadRequest, ErrorResponse{Error: err.Error(), Verdict: "not_run"})
		return
	}
	i.Author = operator
	if old, ok := h.findGrant(r.Context(), i); ok {
		writeJSON(w, http.StatusOK, PlanResponse{Plan: old})
		return
	}
	key := ""
	if i.Kind == planner.IntentGrantKey && i.Verifier == "" {
		var err error
		if key, i.Verifier, err = newKey(); err != nil {
			h.writeError(w, r, err)
			return
		}
	}
	p, err := h.propose(r.Context(), planner.Operation{Kind: planner.OperationIntent, Intent: &i})
	var closed *planner.ClosedError
	if errors.As(err, &closed) {
		h.writeArchivedPlan(w, r, i.ID)
		return
	}
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	writeJSON(w, http.StatusOK, PlanResponse{Plan: p, Key: key})
}

// findGrant returns the existing plan of a resent intent to grant a key. The
// sender does not know the verifier, so it is not compared.
func (h Handler) findGrant(ctx context.Context, i planner.Intent) (planner.Plan, bool) {
	var plan planner.Plan
	found := false
	_ = h.Controller.ReadState(ctx, func(m *planner.StateMachine) {
		if p := m.Plans[i.ID]; p != nil && i.Verifier == "" {
			i.Verifier = p.Intent.Verifier
			if i.Equal(p.Intent) {
				plan, found = *p, true
			}
		}
	})
	if found || i.Verifier != "" {
		return plan, found
	}
	old, err := h.Controller.ArchivedPlan(i.ID)
	if err != nil || old == nil {
		return plan, false
	}
	i.Verifier = old.Intent.Verifier
	return *old, i.Equal(old.Intent)
}

// writeArchivedPlan responds with a closed plan from the archived pages.
func (h Handler) writeArchivedPlan(w http.ResponseWriter, r *http.Request, id string) {
	p, err := h.Controller.ArchivedPlan(id)
	switch {
	case err != nil:
		h.writeError(w, r, err)
	case p == nil:
		writeJSON(w, http.StatusNotFound, ErrorResponse{Error: "no such plan", Verdict: "not_run"})
	default:
		writeJSON(w, http.StatusOK, PlanResponse{Plan: *p})
	}
}

func newKey() (key, verifier string, err error) {
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", "", fmt.Errorf("operator: read random bytes: %w", err)
	}
	key = hex.EncodeToString(raw)
	verifier, err = authenticator.NewVerifier(key)
	return key, verifier, err
}

func (h Handler) propose(ctx context.Context, o planner.Operation) (planner.Plan, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return h.Controller.Propose(ctx, o)
}

func (h Handler) plans(w http.ResponseWriter, r *http.Request, _ string) {
	plans := []planner.Plan{}
	err := h.Controller.ReadState(r.Context(), func(m *planner.StateMachine) {
		for _, p := range m.Plans {
			plans = append(plans, *p)
		}
	})
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	sort.Slice(plans, func(i, j int) bool { return plans[i].At < plans[j].At })
	writeJSON(w, http.StatusOK, plans)
}

func (h Handler) plan(w http.ResponseWriter, r *http.Request, _ string) {
	var plan *planner.Plan
	err := h.Controller.ReadState(r.Context(), func(m *planner.StateMachine) {
		if p := m.Plans[r.PathValue("id")]; p != nil {
			c := *p
			plan = &c
		}
	})
	switch {
	case err != nil:
		h.writeError(w, r, err)
	case plan == nil:
		h.writeArchivedPlan(w, r, r.PathValue("id"))
	default:
		writeJSON(w, http.StatusOK, PlanResponse{Plan: *plan})
	}
}

// planAction returns the handler for comments, confirmations or rejections.
func (h Handler) planAction(kind planner.OperationKind) func(http.ResponseWriter, *http.Request, string) {
	return func(w http.ResponseWriter, r *http.Request, operator string) {
		var body Remark
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
			writeJSON(w, http.StatusBadRequest, ErrorResponse{Error: err.Error(), Verdict: "not_run"})
			return
		}
		p, err := h.propose(r.Context(), planner.Operation{Kind: kind, PlanID: r.PathValue("id"), Actor: operator, Text: body.Text})
		if err != nil {
			h.writeError(w, r, err)
			return
		}
		writeJSON(w, http.StatusOK, PlanResponse{Plan: p})
	}
}
