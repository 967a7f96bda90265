package pooler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/internal/pauser"
)

// TestGateAgainstCounter runs many interleavings of entering, giving up and
// leaving, and compares with a naive counter: never more holders than places,
// and no place free while someone waits.
func TestGateAgainstCounter(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			limit := 1 + rnd.IntN(4)
			var g Gate
			g.SetLimit(limit)
			var holders, most atomic.Int64
			done := make(chan struct{})
			const tasks = 60
			for i := range tasks {
				start, patience, work := rnd.IntN(300), 1+rnd.IntN(60), 1+rnd.IntN(40)
				org := fmt.Sprint(i % 3)
				go func() {
					defer func() { done <- struct{}{} }()
					_ = pauser.Pause(t.Context(), time.Duration(start)*time.Millisecond)
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(patience)*time.Millisecond)
					defer cancel()
					if g.Enter(ctx, org) != nil {
						return
					}
					if n := holders.Add(1); n > most.Load() {
						most.Store(n)
					}
					_ = pauser.Pause(t.Context(), time.Duration(work)*time.Millisecond)
					holders.Add(-1)
					g.Leave(org, time.Duration(work)*time.Millisecond)
				}()
			}
			for range tasks {
				<-done
			}
			used, _ := g.Load()
			qt.Assert(t, most.Load() <= int64(limit), qt.IsTrue, qt.Commentf("seed %d: %d holders of %d places", seed, most.Load(), limit))
			qt.Assert(t, used, qt.Equals, 0, qt.Commentf("seed %d: a place was lost", seed))
		})
	}
}

func TestGateSharesPlacesBetweenOrganisations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Gate
		g.SetLimit(1)
		qt.Assert(t, g.Enter(t.Context(), "many"), qt.IsNil)
		order := make(chan string, 20)
		for i := range 12 {
			org := "many"
			if i >= 10 {
				org = "few"
			}
			go func() {
				if g.Enter(t.Context(), org) == nil {
					order <- org
					_ = pauser.Pause(t.Context(), time.Millisecond)
					g.Leave(org, time.Millisecond)
				}
			}()
			synctest.Wait()
		}
		g.Leave("many", time.Millisecond)
		few := 0
		for range 4 {
			if <-order == "few" {
				few++
			}
		}
		qt.Assert(t, few, qt.Equals, 2, qt.Commentf("the few must not wait behind the many"))
		for range 8 {
			<-order
		}
	})
}
