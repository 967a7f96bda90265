package main

import (
	"sync"
	"syscall"
	"time"
)

// soakRepeats is the share of answers that are sent again while upstreams answer twice.
const soakRepeats = 0.03

// seriesGap is the longest pause between the signals of a series.
const seriesGap = 400 * time.Millisecond

// disturbInSeries sends series of signals to an entry host and a control host at once while
// configurations are submitted, and starts both hosts again.
func (s *soak) disturbInSeries(entry, control *hostProcess) {
	entrySignals := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}
	if s.rnd.IntN(2) == 0 {
		entrySignals = append(entrySignals, syscall.SIGSTOP, syscall.SIGCONT, syscall.SIGKILL)
	}
	controlSignals := []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT, syscall.SIGHUP, syscall.SIGSTOP, syscall.SIGCONT, syscall.SIGKILL}
	var wg sync.WaitGroup
	wg.Go(s.signalInSeries("entry", entry, entrySignals))
	wg.Go(s.signalInSeries("control", control, controlSignals))
	for range 3 {
		s.configure()
		s.checkConfiguration()
	}
	wg.Wait()
}

// signalInSeries returns a function that sends the signals, waits for the end of the process
// and starts it again. The pauses are drawn beforehand, as the draws are in one order.
func (s *soak) signalInSeries(role string, p *hostProcess, signals []syscall.Signal) func() {
	var gaps []time.Duration
	for range signals {
		gaps = append(gaps, time.Duration(s.rnd.Int64N(int64(seriesGap))))
	}
	return func() {
		for i, signal := range signals {
			_ = p.cmd.Process.Signal(signal)
			time.Sleep(gaps[i])
		}
		_, _ = p.cmd.Process.Wait()
		s.restart(role, p)
	}
}

// setRepeats sets the share of answers that are sent again.
func (g *fakeGroup) setRepeats(share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.repeats = share
}
