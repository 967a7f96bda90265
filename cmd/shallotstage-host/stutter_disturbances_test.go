package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"
)

var stutterCauses = flag.String("stutter-causes", "pieces,blanks,long,leave,idle,signals,keys,public,routes,primaries", "what happens in TestUpstreamsGetOnlyWhatCallersSent; rates and repeats add low limits and answers that are sent twice")

// stopped waits and reports whether the run has ended.
func (f *stutterFleet) stopped(pause time.Duration) bool {
	select {
	case <-f.stop:
		return true
	case <-time.After(pause):
		return false
	}
}

// drawPause returns a pause up to the given length.
func drawPause(rnd *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(int64(most)))
}

// signalEntries returns a disturbance that sends signals in series to every second entry
// host from the given one on.
func signalEntries(first int) func(f *stutterFleet) {
	return func(f *stutterFleet) {
		rnd := rand.New(rand.NewPCG(f.seed, 20+uint64(first)))
		for !f.stopped(drawPause(rnd, time.Second)) {
			f.signalEntry(rnd, first+2*rnd.IntN(stutterEntries/2))
		}
	}
}

func (f *stutterFleet) signalEntry(rnd *rand.Rand, i int) {
	p := f.entries[i]
	send := func(signal syscall.Signal) { _ = p.cmd.Process.Signal(signal) }
	switch rnd.IntN(4) {
	case 0:
		for range 1 + rnd.IntN(4) {
			send(syscall.SIGHUP)
			f.stopped(drawPause(rnd, 100*time.Millisecond))
		}
		return
	case 1:
		send(syscall.SIGSTOP)
		f.stopped(drawPause(rnd, 1500*time.Millisecond))
		send(syscall.SIGCONT)
		return
	case 2:
		send(syscall.SIGTERM)
		f.stopped(drawPause(rnd, 500*time.Millisecond))
		send(syscall.SIGHUP)
		if rnd.IntN(2) == 0 {
			f.stopped(drawPause(rnd, time.Second))
			send(syscall.SIGKILL)
		}
	default:
		send(syscall.SIGKILL)
	}
	_, _ = p.cmd.Process.Wait()
	f.entries[i] = f.start("entry", p.ip)
}

// moveKeys gives keys to other organisations, or to none.
func moveKeys(f *stutterFleet) {
	rnd := rand.New(rand.NewPCG(f.seed, 30))
	for !f.stopped(drawPause(rnd, 1500*time.Millisecond)) {
		organisation := ""
		if rnd.IntN(4) > 0 {
			organisation = fmt.Sprintf("organisation%d", rnd.IntN(stutterOrganisations))
		}
		key := f.drawKey(rnd)
		f.configure(func() { f.organisations[key] = organisation })
	}
}

// moveRoutes gives routes to other services.
func moveRoutes(f *stutterFleet) {
	rnd := rand.New(rand.NewPCG(f.seed, 31))
	for !f.stopped(drawPause(rnd, 1500*time.Millisecond)) {
		route, service := rnd.IntN(len(f.routes)), f.services[rnd.IntN(stutterServices)].name
		f.configure(func() { f.routes[route].service = service })
	}
}

// openRoutes makes a route of each kind public.
func openRoutes(f *stutterFleet) {
	f.configure(func() {
		f.ledger.mu.Lock()
		defer f.ledger.mu.Unlock()
		for _, r := range f.routes[:3] {
			r.public = true
			f.ledger.public[r.database] = true
		}
	})
}

// limitRates gives all organisations a low rate.
func limitRates(f *stutterFleet) {
	f.configure(func() { f.rate = 8 })
}

// changePrimaries lets primaries crash and come back once they may be replaced.
func changePrimaries(f *stutterFleet) {
	rnd := rand.New(rand.NewPCG(f.seed, 32))
	for !f.stopped(drawPause(rnd, time.Second)) {
		s := f.services[rnd.IntN(stutterServices)]
		s.mu.Lock()
		u := s.upstreams[s.primary]
		s.mu.Unlock()
		u.crash()
		f.stopped(time.Second + drawPause(rnd, 2*time.Second))
		u.resume(f.t)
	}
}

// TestUpstreamsGetOnlyWhatCallersSent fails if upstreams get statements that no caller sent,
// or other bytes or for another organisation, while the fleet and its callers are disturbed.
func TestUpstreamsGetOnlyWhatCallersSent(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		faults := answerFaults{repeat: map[answerKind]float64{}}
		var habits callerHabits
		var disturbances []func(f *stutterFleet)
		for _, cause := range strings.Split(*stutterCauses, ",") {
			switch cause {
			case "pieces":
				habits.pieces, habits.leaveWithin = 0.5, 0.02
			case "blanks":
				habits.blanks = 0.7
			case "leave":
				habits.leave = 0.05
			case "signals":
				disturbances = append(disturbances, signalEntries(0), signalEntries(1))
			case "keys":
				disturbances = append(disturbances, moveKeys)
			case "long":
				habits.long = 0.2
			case "idle":
				habits.idle = 0.05
			case "public":
				disturbances = append(disturbances, openRoutes)
			case "rates":
				disturbances = append(disturbances, limitRates)
			case "routes":
				disturbances = append(disturbances, moveRoutes)
			case "primaries":
				disturbances = append(disturbances, changePrimaries)
			case "repeats":
				faults = secondAnswers
			default:
				t.Fatalf("-stutter-causes has %q", cause)
			}
		}
		runStutter(t, seed, faults, habits, disturbances...)
	})
}
