package main

import (
	"flag"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	stutterSeed     = flag.Uint64("stutter-seed", 1, "random seed of the stuttering upstreams")
	stutterSeeds    = flag.Uint64("seeds", 1, "number of seeds, from -stutter-seed on")
	stutterKinds    = flag.String("stutter-kinds", "", "faults of the answers: signed, ack, error, status, startup, chunks, cut, lost, busy; empty means all, none means none")
	stutterDuration = flag.Duration("stutter", 10*time.Second, "duration of a run with stuttering upstreams")
)

// minConfirmed is the number of reads, writes and commits that must be served with their own
// answer in each run, and minServedShare the share of all statements that must be served.
const (
	minConfirmed   = 200
	minServedShare = 0.5
)

// selectFaults leaves out the kinds of faults that -stutter-kinds does not name.
func selectFaults(faults answerFaults) answerFaults {
	if *stutterKinds == "" {
		return faults
	}
	selected := answerFaults{repeat: map[answerKind]float64{}, pieces: faults.pieces}
	for _, kind := range strings.Split(*stutterKinds, ",") {
		switch kind {
		case "chunks":
			selected.chunks = faults.chunks
		case "cut":
			selected.cut = faults.cut
		case "lost":
			selected.lost = faults.lost
		case "busy":
			selected.busy = faults.busy
		default:
			selected.repeat[answerKind(kind)] = faults.repeat[answerKind(kind)]
		}
	}
	return selected
}

// runStutter runs a fleet with faults and checks what both sides recorded.
func runStutter(t *testing.T, seed uint64, faults answerFaults, habits callerHabits, disturbances ...func(f *stutterFleet)) {
	f := newStutterFleet(t, seed, selectFaults(faults))
	stop := f.serve(habits)
	defer stop()
	for _, disturb := range disturbances {
		f.wg.Go(func() { disturb(f) })
	}
	time.Sleep(*stutterDuration)
	stop()
	l := f.ledger
	l.judge()
	promotions := 0
	for _, s := range f.services {
		promotions += s.promotions
	}
	t.Logf("seed %d: %d statements served, %d confirmed, refused %v, %d answers sent again, %d commits, %d promotions, violations %v",
		seed, l.served, l.confirmed, l.refused, l.repeats, len(l.commits), promotions, l.violations)
	for rule, examples := range l.examples {
		for _, example := range examples {
			t.Logf("%s: %s", rule, example)
		}
	}
	qt.Check(t, l.confirmed >= minConfirmed, qt.IsTrue, qt.Commentf("%d confirmed", l.confirmed))
	qt.Check(t, float64(l.served) >= minServedShare*float64(len(l.sent)), qt.IsTrue, qt.Commentf("%d of %d served", l.served, len(l.sent)))
	qt.Assert(t, l.violations, qt.HasLen, 0, qt.Commentf("rules broken"))
}

// eachSeed runs a test with each seed.
func eachSeed(t *testing.T, run func(t *testing.T, seed uint64)) {
	if *stutterSeeds == 1 {
		run(t, *stutterSeed)
		return
	}
	for i := range *stutterSeeds {
		t.Run("", func(t *testing.T) { run(t, *stutterSeed+i) })
	}
}

// secondAnswers are upstreams that answer twice, cut answers off and lose them.
var secondAnswers = answerFaults{
	repeat: map[answerKind]float64{answerSigned: 0.03, answerAck: 0.03, answerError: 0.5, answerStatus: 0.3, answerStartup: 0.3},
	chunks: 0.01, pieces: 0.3, cut: 0.002, lost: 0.001, busy: 0.01,
}

// TestSecondAnswersReachNoOtherCaller fails if an answer that an upstream sends twice is
// taken for that of another statement.
//
//	go test ./cmd/shallotstage-host -run SecondAnswers -args -seeds 50
func TestSecondAnswersReachNoOtherCaller(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		runStutter(t, seed, secondAnswers, callerHabits{leave: 0.01})
	})
}

// TestRefusedTransactionsCommitNothing fails if a write of a caller's transaction runs, and so
// is committed, although the upstream refused to begin the transaction, because the second
// copy of another answer was taken for that to BEGIN.
func TestRefusedTransactionsCommitNothing(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		runStutter(t, seed, answerFaults{
			repeat: map[answerKind]float64{answerSigned: 0.1, answerAck: 0.2}, refuseBegin: 0.3,
		}, callerHabits{})
	})
}
