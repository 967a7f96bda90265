package broker

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/pkg/queuer"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// The values of LentResult.Failure, for work that ended before its last answer.
const (
	failureQueue   = "queue"
	failureConnect = "connect"
	failureSetup   = "setup"
	failureLate    = "late"
	failureLost    = "lost"
	failureRegion  = "region"
	failureCold    = "cold"
	// failureEvacuated is not known to hosts of an earlier build: they take the work for
	// lost and not sent.
	failureEvacuated = "evacuated"
)

func encodeWork(limits connector.Limits, b connector.Batch) *messenger.LentWork {
	work := &messenger.LentWork{
		TimeMs: milliseconds(time.Until(limits.Deadline)), ReserveMs: milliseconds(limits.TimeReserve),
		MaxWaitMs: milliseconds(limits.MaxWait), Priority: uint32(max(0, limits.Priority)), Values: b.Values,
		PrepareName: b.Prepare.Name, PrepareText: b.Prepare.Text, Last: b.EndsLease, Reads: b.ReadOnly, Probe: b.PositionOnly, Patient: limits.Patient, AnswerMs: milliseconds(limits.AnswerWithin),
	}
	for _, q := range b.Requests {
		work.Requests = append(work.Requests, &messenger.LentRequest{
			Verb: string(q.Verb), Id: q.ID, Text: []byte(q.Text), ReadOnly: q.ReadOnly, FloorTerm: q.Floor.Term, FloorOffset: q.Floor.Offset,
		})
	}
	return work
}

func milliseconds(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

func decodeWork(work *messenger.LentWork) (connector.Limits, connector.Batch) {
	limits := connector.Limits{
		Deadline:    time.Now().Add(time.Duration(work.GetTimeMs()) * time.Millisecond),
		TimeReserve: time.Duration(work.GetReserveMs()) * time.Millisecond,
		MaxWait:     time.Duration(work.GetMaxWaitMs()) * time.Millisecond,
		Priority:    int(work.GetPriority()),
		Patient:     work.GetPatient(),

		AnswerWithin: time.Duration(work.GetAnswerMs()) * time.Millisecond,
	}
	b := connector.Batch{
		Values: work.GetValues(), EndsLease: work.GetLast(), ReadOnly: work.GetReads(), PositionOnly: work.GetProbe(),
		Prepare: connector.PreparedStatement{Name: work.GetPrepareName(), Text: work.GetPrepareText()},
	}
	for _, q := range work.GetRequests() {
		b.Requests = append(b.Requests, connector.Request{
			Verb: connector.Verb(q.GetVerb()), ID: q.GetId(), Text: string(q.GetText()), ReadOnly: q.GetReadOnly(),
			Floor: tracker.Position{Term: q.GetFloorTerm(), Offset: q.GetFloorOffset()},
		})
	}
	return limits, b
}

func encodeResult(answers []connector.Answer, err error) *messenger.LentResult {
	result := &messenger.LentResult{}
	for _, a := range answers {
		result.Answers = append(result.Answers, &messenger.LentAnswer{
			Body: a.Body, Failure: string(a.Failure), Detail: []byte(a.Detail), State: string(a.State),
			PositionTerm: a.Position.Term, PositionOffset: a.Position.Offset, Completed: a.Completed, Rows: uint32(a.Rows),
		})
	}
	if err == nil {
		return result
	}
	result.Failure, result.Detail = failureLost, err.Error()
	var runErr *connector.RunError
	result.Sent = !errors.As(err, &runErr) || runErr.MayHaveRun
	var queueErr *connector.QueueError
	var connectErr *connector.ConnectError
	var regionErr *connector.RegionError
	var warmupErr *connector.WarmupError
	var evacuatedErr *connector.EvacuatedError
	var setupErr *connector.SetupError
	switch {
	case errors.As(err, &warmupErr):
		result.Failure, result.ExpectedMs = failureCold, milliseconds(warmupErr.RetryAfter)
	case errors.As(err, &regionErr):
		result.Failure = failureRegion
	case errors.As(err, &evacuatedErr):
		result.Failure = failureEvacuated
	case errors.As(err, &queueErr):
		result.Failure, result.ExpectedMs, result.RoomMs, result.MayWait = failureQueue, milliseconds(queueErr.ExpectedWait), milliseconds(queueErr.RoomIn), queueErr.MayWait
	case errors.As(err, &connectErr):
		result.Failure, result.Refused = failureConnect, string(connectErr.Failure)
	case errors.As(err, &setupErr):
		result.Failure, result.Refused, result.Detail = failureSetup, string(setupErr.Failure), setupErr.Operation+": "+setupErr.Detail
	case errors.Is(err, os.ErrDeadlineExceeded):
		result.Failure = failureLate
	}
	return result
}

func decodeResult(upstream string, result *messenger.LentResult) ([]connector.Answer, error) {
	answers := make([]connector.Answer, 0, len(result.GetAnswers()))
	for _, a := range result.GetAnswers() {
		answers = append(answers, connector.Answer{
			Body: a.GetBody(), Failure: connector.Failure(a.GetFailure()), Detail: string(a.GetDetail()), State: connector.TransactionState(a.GetState()),
			Position: tracker.Position{Term: a.GetPositionTerm(), Offset: a.GetPositionOffset()}, Completed: a.GetCompleted(), Rows: int(a.GetRows()),
		})
	}
	switch result.GetFailure() {
	case "":
		return answers, nil
	case failureQueue:
		return answers, &connector.RunError{Err: &connector.QueueError{
			Upstream: upstream, ExpectedWait: time.Duration(result.GetExpectedMs()) * time.Millisecond, MayWait: result.GetMayWait(),
			RoomIn: time.Duration(result.GetRoomMs()) * time.Millisecond,
		}}
	case failureCold:
		return answers, &connector.RunError{Err: &connector.WarmupError{Upstream: upstream, RetryAfter: time.Duration(result.GetExpectedMs()) * time.Millisecond}}
	case failureRegion:
		return answers, &connector.RunError{Err: &connector.RegionError{Upstream: upstream}}
	case failureEvacuated:
		return answers, &connector.RunError{Err: &connector.EvacuatedError{Upstream: upstream}}
	case failureConnect:
		cause := fmt.Errorf("reported by its owner: %s", result.GetDetail())
		return answers, &connector.RunError{Err: &connector.ConnectError{Upstream: upstream, Failure: connector.Failure(result.GetRefused()), Err: cause}}
	case failureSetup:
		return answers, &connector.RunError{MayHaveRun: result.GetSent(), Err: &connector.SetupError{Upstream: upstream, Operation: "setup by its owner", Failure: connector.Failure(result.GetRefused()), Detail: result.GetDetail()}}
	case failureLate:
		return answers, &connector.RunError{MayHaveRun: result.GetSent(), Err: fmt.Errorf("broker: owner of %s: %s: %w", upstream, result.GetDetail(), os.ErrDeadlineExceeded)}
	}
	// Hosts of an earlier build treat an unknown failure like this one.
	return answers, &connector.RunError{MayHaveRun: result.GetSent(), Err: fmt.Errorf("broker: owner of %s: %s", upstream, result.GetDetail())}
}

// loadUnit is the unit of LentLoad.mean_service.
const loadUnit = 100 * time.Microsecond

// The largest values in a LentLoad: those that take one and two bytes.
const (
	maxOneByte = 1<<7 - 1
	maxTwoByte = 1<<14 - 1
)

func encodeLoad(l queuer.Load) *messenger.LentLoad {
	bounded := func(n, most int) uint32 { return uint32(max(0, min(n, most))) }
	return &messenger.LentLoad{
		Slots: bounded(l.Slots, maxTwoByte), Running: bounded(l.Running, maxTwoByte), Queued: bounded(l.Queued, maxTwoByte), Opening: bounded(l.Opening, maxOneByte),
		MeanService: bounded(int((l.MeanServiceTime+loadUnit/2)/loadUnit), maxTwoByte), HasIdle: l.HasIdle,
	}
}

// encodeElapsed returns the time that a batch took, or zero if it is too long.
func encodeElapsed(d time.Duration) uint32 {
	if units := d / loadUnit; units <= maxTwoByte {
		return uint32(max(1, units))
	}
	return 0
}

// decodeLoad decodes a report of another host, which may be of another build.
func decodeLoad(l *messenger.LentLoad) queuer.Load {
	bounded := func(n uint32) int { return int(min(n, maxTwoByte)) }
	return queuer.Load{
		Slots: bounded(l.GetSlots()), Running: bounded(l.GetRunning()), Queued: bounded(l.GetQueued()), Opening: bounded(l.GetOpening()),
		MeanServiceTime: time.Duration(bounded(l.GetMeanService())) * loadUnit, HasIdle: l.GetHasIdle(),
	}
}
