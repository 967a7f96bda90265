package fencer

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestNoReplacedPrimaryIsActedOn(t *testing.T) {
	const schedules = 4000
	changes, acknowledged := 0, 0
	for seed := range uint64(schedules) {
		s := newSimulation(seed, noFault)
		qt.Assert(t, s.run(), qt.Equals, "", qt.Commentf("seed %d", seed))
		changes += s.changes
		acknowledged += len(s.acknowledged)
	}
	qt.Assert(t, changes > schedules, qt.IsTrue, qt.Commentf("%d changes", changes))
	qt.Assert(t, acknowledged > schedules, qt.IsTrue, qt.Commentf("%d writes", acknowledged))
	t.Logf("%d changes of primary, %d writes acknowledged", changes, acknowledged)
}

// Each safeguard is needed: without it the same schedules find what it prevents.
func TestSimulationFindsPlantedFaults(t *testing.T) {
	for _, fault := range []plantedFault{faultNoLeaseWait, faultNoGate, faultNoLease, faultForgetLeases, faultNoCatchUp, faultNotDemoted, faultLapse} {
		t.Run(string(fault), func(t *testing.T) {
			for seed := range uint64(4000) {
				if failure := newSimulation(seed, fault).run(); failure != "" {
					t.Logf("seed %d: %s", seed, failure)
					return
				}
			}
			t.Fatal("the fault was not found")
		})
	}
}
