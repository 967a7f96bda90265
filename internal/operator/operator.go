// Package operator serves the operators' interface of a control host over HTTP
// and JSON: intents, plans, comments, confirmations and the record.
//
// # Usage
//
//	h := operator.Handler{Controller: c, Credentials: credentials}
//	http.ListenAndServe(address, h.Routes())
//
// A control host that does not lead answers 421 and names the leader; the
// client asks another one.
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
	// agreeTimeout bounds the wait for an agreement.
	agreeTimeout = 5 * time.Second
	// keyBytes is the length of a new key before encoding.
	keyBytes     = 24
	maxBodyBytes = 64 << 10
)

// Credential lets one operator in.
type Credential struct {
	Operator string `json:"operator"`
	// TokenSHA256 is the digest of the operator's token in hexadecimal.
	TokenSHA256 string `json:"token_sha256"`
}

// Digest returns the stored form of an operator's token.
func Digest(token string) string {
	d := sha256.Sum256([]byte(token))
	return hex.EncodeToString(d[:])
}

// Handler serves the interface.
type Handler struct {
	Controller  *controller.Controller
	Credentials []Credential
}

// PlanAnswer is the answer to an intent.
type PlanAnswer struct {
	Plan planner.Plan `json:"plan"`
	// Key is a new key, shown this once.
	Key string `json:"key,omitempty"`
}

// ErrorAnswer is the body of every refusal. Verdict says whether the operation
// may have been agreed on.
type ErrorAnswer struct {
	Error   string `json:"error"`
	Verdict string `json:"verdict"`
	Leader  string `json:"leader,omitempty"`
}

// Remark is the body of a comment, a confirmation or a rejection.
type Remark struct {
	Text string `json:"text"`
}

// Routes returns the handler of all paths.
func (h Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", h.status)
	mux.HandleFunc("POST /v1/intents", h.signed(h.intend))
	mux.HandleFunc("GET /v1/plans", h.signed(h.plans))
	mux.HandleFunc("GET /v1/plans/{id}", h.signed(h.plan))
	mux.HandleFunc("POST /v1/plans/{id}/comments", h.signed(h.remark(planner.OperationComment)))
	mux.HandleFunc("POST /v1/plans/{id}/confirm", h.signed(h.remark(planner.OperationConfirm)))
	mux.HandleFunc("POST /v1/plans/{id}/reject", h.signed(h.remark(planner.OperationReject)))
	mux.HandleFunc("GET /v1/record", h.signed(h.record))
	mux.HandleFunc("GET /v1/levels", h.signed(h.levels))
	return mux
}

// signed lets only operators in and passes on who it is.
func (h Handler) signed(next func(w http.ResponseWriter, r *http.Request, operator string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		digest := Digest(token)
		for _, c := range h.Credentials {
			if ok && subtle.ConstantTimeCompare([]byte(digest), []byte(c.TokenSHA256)) == 1 {
				next(w, r, c.Operator)
				return
			}
		}
		answer(w, http.StatusUnauthorized, ErrorAnswer{Error: "operator's token is not valid", Verdict: "not_run"})
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// fail answers an error with the fitting status and verdict.
func (h Handler) fail(w http.ResponseWriter, r *http.Request, err error) {
	a := ErrorAnswer{Error: err.Error(), Verdict: "not_run"}
	var conflict *planner.ConflictError
	switch {
	case errors.Is(err, controller.ErrNotLeading):
		if s, statusErr := h.Controller.Status(r.Context()); statusErr == nil {
			a.Leader = s.Leader
		}
		// The leadership may have been lost while the operation was under
		// way; a resend with the same id is safe.
		a.Verdict = "may_have_run"
		answer(w, http.StatusMisdirectedRequest, a)
	case errors.As(err, &conflict):
		answer(w, http.StatusConflict, a)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, controller.ErrStopped):
		a.Verdict = "may_have_run"
		answer(w, http.StatusServiceUnavailable, a)
	default:
		answer(w, http.StatusBadRequest, a)
	}
}

func (h Handler) status(w http.ResponseWriter, r *http.Request) {
	s, err := h.Controller.Status(r.Context())
	if err != nil {
		h.fail(w, r, err)
		return
	}
	answer(w, http.StatusOK, s)
}

// intend takes an intent. A new key is made here and only its verifier is
// agreed on; a resent intent gets its plan without the key.
func (h Handler) intend(w http.ResponseWriter, r *http.Request, operator string) {
	var i planner.Intent
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&i); err != nil {
		answer(w, http.StatusBadRequest, ErrorAnswer{Error: err.Error(), Verdict: "not_run"})
		return
	}
	i.Author = operator
	if old, ok := h.known(r.Context(), i); ok {
		answer(w, http.StatusOK, PlanAnswer{Plan: old})
		return
	}
	key := ""
	if i.Kind == planner.IntentGrantKey && i.Verifier == "" {
		var err error
		if key, i.Verifier, err = newKey(); err != nil {
			h.fail(w, r, err)
			return
		}
	}
	p, err := h.propose(r.Context(), planner.Operation{Kind: planner.OperationIntent, Intent: &i})
	var closed *planner.ClosedError
	if errors.As(err, &closed) {
		h.answerOldPlan(w, r, i.ID)
		return
	}
	if err != nil {
		h.fail(w, r, err)
		return
	}
	answer(w, http.StatusOK, PlanAnswer{Plan: p, Key: key})
}

// known finds the plan of a resent grant, whose verifier the sender lacks.
func (h Handler) known(ctx context.Context, i planner.Intent) (planner.Plan, bool) {
	var plan planner.Plan
	found := false
	_ = h.Controller.Read(ctx, func(b *planner.Book) {
		if p := b.Plans[i.ID]; p != nil && i.Verifier == "" {
			i.Verifier = p.Intent.Verifier
			if i.Equal(p.Intent) {
				plan, found = *p, true
			}
		}
	})
	if found || i.Verifier != "" {
		return plan, found
	}
	old, err := h.Controller.OldPlan(i.ID)
	if err != nil || old == nil {
		return plan, false
	}
	i.Verifier = old.Intent.Verifier
	return *old, i.Equal(old.Intent)
}

// answerOldPlan answers a plan that is closed and in a page.
func (h Handler) answerOldPlan(w http.ResponseWriter, r *http.Request, id string) {
	p, err := h.Controller.OldPlan(id)
	switch {
	case err != nil:
		h.fail(w, r, err)
	case p == nil:
		answer(w, http.StatusNotFound, ErrorAnswer{Error: "no such plan", Verdict: "not_run"})
	default:
		answer(w, http.StatusOK, PlanAnswer{Plan: *p})
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
	ctx, cancel := context.WithTimeout(ctx, agreeTimeout)
	defer cancel()
	return h.Controller.Propose(ctx, o)
}

func (h Handler) plans(w http.ResponseWriter, r *http.Request, _ string) {
	plans := []planner.Plan{}
	err := h.Controller.Read(r.Context(), func(b *planner.Book) {
		for _, p := range b.Plans {
			plans = append(plans, *p)
		}
	})
	if err != nil {
		h.fail(w, r, err)
		return
	}
	sort.Slice(plans, func(i, j int) bool { return plans[i].At < plans[j].At })
	answer(w, http.StatusOK, plans)
}

func (h Handler) plan(w http.ResponseWriter, r *http.Request, _ string) {
	var plan *planner.Plan
	err := h.Controller.Read(r.Context(), func(b *planner.Book) {
		if p := b.Plans[r.PathValue("id")]; p != nil {
			c := *p
			plan = &c
		}
	})
	switch {
	case err != nil:
		h.fail(w, r, err)
	case plan == nil:
		h.answerOldPlan(w, r, r.PathValue("id"))
	default:
		answer(w, http.StatusOK, PlanAnswer{Plan: *plan})
	}
}

// remark returns the handler of a comment, a confirmation or a rejection.
func (h Handler) remark(kind planner.OperationKind) func(http.ResponseWriter, *http.Request, string) {
	return func(w http.ResponseWriter, r *http.Request, operator string) {
		var body Remark
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
			answer(w, http.StatusBadRequest, ErrorAnswer{Error: err.Error(), Verdict: "not_run"})
			return
		}
		p, err := h.propose(r.Context(), planner.Operation{Kind: kind, Plan: r.PathValue("id"), Actor: operator, Text: body.Text})
		if err != nil {
			h.fail(w, r, err)
			return
		}
		answer(w, http.StatusOK, PlanAnswer{Plan: p})
	}
}
