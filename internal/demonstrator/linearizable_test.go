package demonstrator

import (
	"context"
	"errors"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

const (
	// historyWorkers and historyRequests bound the history.
	historyWorkers  = 6
	historyRequests = 40
	// checkTimeout bounds the search for a linear order.
	checkTimeout = 20 * time.Second
)

// counterModel is a counter whose only operation adds one and returns the sum.
// An output of zero is that of a request that may have run: its end is unknown,
// so it may take effect at any time after it began, or after everything else.
var counterModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, _, output any) (bool, any) {
		before, known := state.(int)
		got, answered := output.(int)
		return known && answered && (got == 0 || got == before+1), before + 1
	},
}

// history gathers operations of several workers.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

// add notes an operation. It reports false for one that did not run.
func (h *history) add(worker int, called time.Time, sum int, err error) bool {
	var pe *pgconn.PgError
	if errors.As(err, &pe) && strings.Contains(pe.Detail, "verdict=not_run") {
		return false
	}
	o := porcupine.Operation{ClientId: worker, Call: int64(called.Sub(h.start)), Output: sum, Return: int64(time.Since(h.start))}
	if err != nil {
		o.Output, o.Return = 0, math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
	return true
}

// TestCounterIsLinearizableAcrossPromotions adds to one row through every data
// centre while its primary is cut off and comes back, and looks for an order of the
// requests that explains every answer: none was lost, doubled, or refused as not
// run though it ran.
func TestCounterIsLinearizableAcrossPromotions(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	layout := Association()
	f, group := startSmallFleet(c, layout)
	c.Assert(f.try(0, group, "CREATE TABLE counter (n bigint)"), qt.IsNil)
	c.Assert(f.try(0, group, "INSERT INTO counter (n) VALUES (0)"), qt.IsNil)
	h := &history{start: time.Now()}
	var wg sync.WaitGroup
	for worker := range historyWorkers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.addToCounter(h, worker, group)
		}()
	}
	first := f.Upstream(f.Group(group).Primary)
	f.await(c, func() bool { return h.count() >= historyWorkers*historyRequests/4 })
	first.SetCutOff(true)
	f.await(c, func() bool {
		return f.Group(group).Primary != first.ID && h.count() >= historyWorkers*historyRequests/2
	})
	first.SetCutOff(false)
	wg.Wait()
	c.Assert(h.count() >= historyWorkers*historyRequests/2, qt.IsTrue)
	result := porcupine.CheckOperationsTimeout(counterModel, h.operations, checkTimeout)
	c.Assert(result, qt.Equals, porcupine.Ok)

	// The check finds an answer that was given twice.
	doubled := append([]porcupine.Operation(nil), h.operations...)
	for i := range doubled {
		if doubled[i].Output != 0 {
			doubled = append(doubled, doubled[i])
			break
		}
	}
	c.Assert(porcupine.CheckOperationsTimeout(counterModel, doubled, checkTimeout), qt.Equals, porcupine.Illegal)
}

func (h *history) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.operations)
}

// addToCounter adds to the counter through the hosts of one data centre.
func (f *Fleet) addToCounter(h *history, worker int, group string) {
	dc := f.Layout.DataCentres[worker%len(f.Layout.DataCentres)].Name
	ctx, cancel := context.WithTimeout(context.Background(), partitionBound)
	defer cancel()
	var conn *pgx.Conn
	for n := 0; n < historyRequests && ctx.Err() == nil; {
		if conn == nil || conn.IsClosed() {
			var err error
			if conn, err = f.Connect(ctx, f.Entries[worker], dc, f.Layout.Organisations[worker].ID, group, ""); err != nil {
				continue
			}
			defer func() { _ = conn.Close(context.Background()) }()
		}
		called, sum := time.Now(), 0
		err := conn.QueryRow(ctx, "UPDATE counter SET n = n + 1 RETURNING n").Scan(&sum)
		if h.add(worker, called, sum, err) {
			n++
		}
	}
}
