package broker

import (
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/emptypb"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/pkg/queuer"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

func TestWorkSurvivesEncoding(t *testing.T) {
	limits := connector.Limits{Deadline: time.Now().Add(time.Minute), TimeReserve: 50 * time.Millisecond, MaxWait: 300 * time.Millisecond, Priority: 2, AnswerWithin: 700 * time.Millisecond, Patient: true}
	batch := connector.Batch{
		Values: map[string]string{"a": "1", "b": ""}, Prepare: connector.PreparedStatement{Name: "p1", Text: "p1 READ q"}, EndsLease: true, ReadOnly: true, PositionOnly: true,
		Requests: []connector.Request{
			{Verb: connector.VerbBegin, ReadOnly: true, Floor: tracker.Position{Term: 3, Offset: 17}},
			{Verb: connector.VerbForward, ID: "x1", Text: "READ \xff\x00 item"},
			{Verb: connector.VerbRollback},
		},
	}
	body, err := proto.Marshal(encodeWork(limits, batch))
	qt.Assert(t, err, qt.IsNil)
	var work messenger.LentWork
	qt.Assert(t, proto.Unmarshal(body, &work), qt.IsNil)
	gotLimits, got := decodeWork(&work)
	qt.Assert(t, got, qt.DeepEquals, batch)
	qt.Assert(t, gotLimits.TimeReserve, qt.Equals, limits.TimeReserve)
	qt.Assert(t, gotLimits.MaxWait, qt.Equals, limits.MaxWait)
	qt.Assert(t, gotLimits.Priority, qt.Equals, limits.Priority)
	qt.Assert(t, gotLimits.AnswerWithin, qt.Equals, limits.AnswerWithin)
	qt.Assert(t, gotLimits.Patient, qt.IsTrue)
	// The deadline is sent as the remaining time, rounded down.
	qt.Assert(t, time.Until(gotLimits.Deadline) > 50*time.Second, qt.IsTrue)
	qt.Assert(t, time.Until(gotLimits.Deadline) <= time.Minute, qt.IsTrue)
	late := encodeWork(connector.Limits{Deadline: time.Now().Add(-time.Second)}, connector.Batch{})
	qt.Assert(t, late.GetTimeMs(), qt.Equals, uint32(0))
}

// After a failure, the borrower must know whether the statement may have run.
func TestFailuresKeepWhetherTheStatementMayHaveRun(t *testing.T) {
	answers := []connector.Answer{{Body: []byte("ROW x"), State: connector.StateInTransaction, Position: tracker.Position{Term: 2, Offset: 5}, Completed: true, Rows: 1}}
	tests := []struct {
		name string
		err  error
		sent bool
	}{
		{"none", nil, false},
		{"full queue", &connector.RunError{Err: &connector.QueueError{Upstream: "u", ExpectedWait: 400 * time.Millisecond, MayWait: true, RoomIn: 150 * time.Millisecond}}, false},
		{"no connection", &connector.RunError{Err: &connector.ConnectError{Upstream: "u", Failure: connector.FailureTooManyConnections, Err: errors.New("full")}}, false},
		{"region not permitted", &connector.RunError{Err: &connector.RegionError{Upstream: "u"}}, false},
		{"cold", &connector.RunError{Err: &connector.WarmupError{Upstream: "u", RetryAfter: 70 * time.Millisecond}}, false},
		{"not sent", &connector.RunError{Err: errors.New("reset")}, false},
		{"sent", &connector.RunError{MayHaveRun: true, Err: errors.New("no answer")}, true},
		{"sent and late", &connector.RunError{MayHaveRun: true, Err: fmt.Errorf("read: %w", os.ErrDeadlineExceeded)}, true},
		{"late before it was sent", &connector.RunError{Err: fmt.Errorf("prepare: %w", os.ErrDeadlineExceeded)}, false},
		{"session values refused", &connector.RunError{Err: &connector.SetupError{Upstream: "u", Operation: "set", Failure: connector.FailureOther, Detail: "no such value"}}, false},
		{"unknown kind", errors.New("unknown"), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			body, err := proto.Marshal(encodeResult(answers, test.err))
			qt.Assert(t, err, qt.IsNil)
			var result messenger.LentResult
			qt.Assert(t, proto.Unmarshal(body, &result), qt.IsNil)
			got, err := decodeResult("u", &result)
			qt.Assert(t, got, qt.DeepEquals, answers)
			qt.Assert(t, err == nil, qt.Equals, test.err == nil)
			if err == nil {
				return
			}
			var runErr *connector.RunError
			qt.Assert(t, errors.As(err, &runErr), qt.IsTrue)
			qt.Assert(t, runErr.MayHaveRun, qt.Equals, test.sent)
			var queueErr, wantQueueErr *connector.QueueError
			qt.Assert(t, errors.As(err, &queueErr), qt.Equals, errors.As(test.err, &wantQueueErr))
			if queueErr != nil {
				qt.Assert(t, queueErr.ExpectedWait, qt.Equals, wantQueueErr.ExpectedWait)
				qt.Assert(t, queueErr.RoomIn, qt.Equals, wantQueueErr.RoomIn)
				qt.Assert(t, queueErr.MayWait, qt.Equals, wantQueueErr.MayWait)
			}
			var warmupErr, wantWarmupErr *connector.WarmupError
			qt.Assert(t, errors.As(err, &warmupErr), qt.Equals, errors.As(test.err, &wantWarmupErr))
			if warmupErr != nil {
				qt.Assert(t, *warmupErr, qt.Equals, *wantWarmupErr)
			}
			var regionErr, wantRegionErr *connector.RegionError
			qt.Assert(t, errors.As(err, &regionErr), qt.Equals, errors.As(test.err, &wantRegionErr))
			var connectErr, wantConnectErr *connector.ConnectError
			qt.Assert(t, errors.As(err, &connectErr), qt.Equals, errors.As(test.err, &wantConnectErr))
			if connectErr != nil {
				qt.Assert(t, connectErr.Failure, qt.Equals, wantConnectErr.Failure)
			}
			var setupErr, wantSetupErr *connector.SetupError
			qt.Assert(t, errors.As(err, &setupErr), qt.Equals, errors.As(test.err, &wantSetupErr))
			if setupErr != nil {
				qt.Assert(t, setupErr.Failure, qt.Equals, wantSetupErr.Failure)
			}
			qt.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), qt.Equals, errors.Is(test.err, os.ErrDeadlineExceeded))
		})
	}
}

// A report travels with each answer over links of 2 Mbit/s.
func TestLoadReportIsSmall(t *testing.T) {
	size := func(l queuer.Load) int {
		report := encodeLoad(l)
		report.Elapsed = encodeElapsed(time.Second)
		return proto.Size(&messenger.LentResult{Load: report}) - proto.Size(&messenger.LentResult{})
	}
	typical := size(queuer.Load{Slots: 4, Running: 3, Queued: 12, Opening: 1, MeanServiceTime: 18 * time.Millisecond, HasIdle: true})
	huge := size(queuer.Load{Slots: 1 << 40, Running: 1 << 40, Queued: 1 << 40, Opening: 1 << 40, MeanServiceTime: time.Hour, HasIdle: true})
	t.Logf("%d bytes typically, at most %d", typical, huge)
	qt.Assert(t, typical < 24, qt.IsTrue)
	qt.Assert(t, huge < 24, qt.IsTrue)
}

func TestLoadReportSurvivesEncoding(t *testing.T) {
	load := queuer.Load{Slots: 4, Running: 5, Queued: 130, Opening: 2, MeanServiceTime: 18300 * time.Microsecond, HasIdle: true}
	qt.Assert(t, decodeLoad(encodeLoad(load)), qt.Equals, load)
	qt.Assert(t, decodeLoad(&messenger.LentLoad{Queued: 1 << 31, MeanService: 1 << 31}).Queued, qt.Equals, maxTwoByte, qt.Commentf("another build may send more"))
	// An owner of an earlier build sends none. A host of an earlier build skips the
	// field, as it does here with a message that has no fields.
	qt.Assert(t, (&messenger.LentResult{}).GetLoad(), qt.IsNil)
	body, err := proto.Marshal(&messenger.LentResult{Load: encodeLoad(load)})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, proto.Unmarshal(body, &emptypb.Empty{}), qt.IsNil)
}
