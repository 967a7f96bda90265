package transactor

import (
	"context"
	"errors"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/balancer"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/refuser"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

const (
	// retryPause follows a refusal by an upstream that had no place.
	retryPause = 10 * time.Millisecond
	// primaryPause is how long a request waits for news of the primary before
	// it asks again.
	primaryPause = 40 * time.Millisecond
	// maxAttempts bounds the upstreams that one statement tries.
	maxAttempts = 12
	// answerReserve is the time kept for the answer's way to the caller.
	answerReserve = 20 * time.Millisecond
)

// request is one statement on its way.
type request struct {
	session      *session
	statement    Statement
	route        keeper.Route
	organisation string
	// arrived is when the statement was read, by the clock that counts
	// suspensions.
	arrived  time.Time
	deadline time.Time
	version  uint64
	reads    bool
	writes   bool
	// shape is set for VerbExecute.
	shape    statementShape
	attempts int
}

// outcome is what became of a request.
type outcome struct {
	answer   connector.Answer
	refusal  *refuser.Refusal
	upstream string
	floor    tracker.Position
	primary  bool
	// kept is true when the connection stays with a transaction.
	kept bool
}

// resolve finds out whether the statement reads or writes.
func (r *request) resolve() *refuser.Refusal {
	switch r.statement.Verb {
	case VerbRead:
		r.reads = true
	case VerbWrite:
		r.writes = true
	case VerbExecute:
		shape, ok := r.session.prepared[r.statement.Name]
		if !ok {
			return refuser.New(refuser.ReasonStatementUnknown, r.statement.Name)
		}
		r.shape = shape
		r.reads, r.writes = shape.readOnly, !shape.readOnly
	case VerbMalformed:
		return refuser.New(refuser.ReasonProtocolViolation, "statement cannot be understood")
	}
	return nil
}

// forward returns the request that passes the statement on.
func (r *request) forward(floor tracker.Position) connector.Request {
	text := r.statement.Text
	if r.statement.Verb == VerbExecute {
		text = r.session.server.Codec.RenameExecute(r.statement, r.shape.name)
	}
	return connector.Request{Verb: connector.VerbForward, ID: r.statement.ID, Text: text, Floor: floor}
}

// equip gives a connection the session's values and the statement's shape.
func (r *request) equip(c *connector.Conn) error {
	if err := c.Adopt(r.deadline, r.session.values); err != nil {
		return err
	}
	return r.prepare(c)
}

func (r *request) prepare(c *connector.Conn) error {
	if r.statement.Verb != VerbExecute {
		return nil
	}
	return c.Prepare(r.deadline, r.shape.name, r.session.server.Codec.PrepareText(r.shape.name, r.shape.value))
}

// exchange sends one request and reads its answer, and keeps the board.
func (r *request) exchange(ctx context.Context, c *connector.Conn, deadline time.Time, q connector.Request) (connector.Answer, error) {
	board := r.session.server.Board
	board.Asked(c.Upstream)
	begin := time.Now()
	a, err := c.Do(deadline, q)
	r.heard(ctx, c, a, err, time.Since(begin))
	return a, err
}

// heard keeps the board after an answer.
func (r *request) heard(ctx context.Context, c *connector.Conn, a connector.Answer, err error, took time.Duration) {
	board := r.session.server.Board
	if err == nil && a.Failure != connector.FailureNone {
		took = 0
	}
	board.Heard(c.Upstream, err == nil, took, a.Position)
	if err == nil {
		return
	}
	board.Doubt(ctx, c.Upstream)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		r.session.server.Log.Info(logger.EventUpstreamConnectionLost, zap.String("request", r.statement.ID), zap.String("upstream", c.Upstream), zap.Error(err))
	}
}

// acquire borrows a connection to an upstream.
func (r *request) acquire(ctx context.Context, id string, deadline time.Time) (*connector.Conn, error) {
	pool := r.session.server.Upstreams.Pool(id)
	if pool == nil {
		return nil, &connector.ConnectError{Upstream: id, Err: errors.New("upstream is unknown")}
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-r.session.server.Board.Service(id)))
	defer cancel()
	organisation := r.organisation
	if organisation == "" {
		organisation = publicOrganisation
	}
	c, err := pool.Acquire(ctx, organisation, r.session.values)
	var failed *connector.ConnectError
	if errors.As(err, &failed) && failed.Failure == connector.FailureNone {
		r.session.server.Board.Doubt(context.WithoutCancel(ctx), id)
	}
	return c, err
}

// publicOrganisation is told to upstreams on routes that are open to all.
const publicOrganisation = "public"

// release gives a connection back unless a transaction keeps it.
func (r *request) release(out outcome, c *connector.Conn) {
	if !out.kept {
		r.session.server.release(c)
	}
}

func (s *Server) release(c *connector.Conn) {
	if pool := s.Upstreams.Pool(c.Upstream); pool != nil {
		pool.Release(c)
		return
	}
	c.Close()
}

// remaining is the time left for the statement.
func (r *request) remaining() time.Duration { return time.Until(r.deadline) - answerReserve }

// pause waits for news of the view, at most for a time. It returns false when
// the statement's time is over.
func (r *request) pause(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	left := r.remaining()
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(min(d, left))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return r.remaining() > 0
}

// candidates describes the upstreams of the route's service for a read.
func (r *request) candidates(view *keeper.View, excluded map[string]bool) []balancer.Candidate {
	server := r.session.server
	upstreams := view.ByService(r.route.Service)
	candidates := make([]balancer.Candidate, 0, len(upstreams))
	for _, u := range upstreams {
		if u.Life != keeper.LifeReady || excluded[u.ID] {
			continue
		}
		pool := server.Upstreams.Pool(u.ID)
		if pool == nil {
			continue
		}
		load := pool.Load()
		c := balancer.Candidate{
			ID: u.ID, Distance: server.Place.DistanceTo(u.DataCentre), Primary: view.Primaries[r.route.Service] == u.ID,
			InUse: load.InUse, Waiting: load.Waiting, Limit: load.Limit, Idle: pool.HasIdle(r.organisation),
		}
		server.Board.Describe(&c)
		candidates = append(candidates, c)
	}
	return candidates
}

// fields describes the decision for the log.
func (r *request) fields(out outcome) []zap.Field {
	fields := []zap.Field{
		zap.String("request", r.statement.ID), zap.String("route", r.route.Name), zap.String("kind", string(r.route.Kind)),
		zap.String("verb", string(r.statement.Verb)), zap.String("organisation", r.organisation),
		zap.Uint64("version", r.version), zap.String("upstream", out.upstream), zap.Int("attempts", r.attempts),
		zap.Duration("took", r.session.server.Now().Sub(r.arrived)),
	}
	if !out.floor.IsZero() {
		fields = append(fields, zap.Stringer("floor", out.floor))
	}
	if out.refusal != nil {
		fields = append(fields, zap.String("reason", string(out.refusal.Reason)), zap.String("verdict", string(out.refusal.Verdict)),
			zap.String("detail", out.refusal.Detail), zap.Duration("retry_after", out.refusal.RetryAfter), zap.NamedError("cause", out.refusal.Err))
	}
	return fields
}
