package queuer

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// admissionWindow is the window of one host.
type admissionWindow struct {
	size     float64
	inFlight int
	reduced  time.Duration
}

func (l *overloadRun) adjust(host *admissionWindow, op *operation, took time.Duration) {
	if took <= l.kinds[op.kind].objective/3 {
		host.size += 1 / host.size
	} else if l.now-host.reduced > aimdInterval {
		host.size, host.reduced = max(1, host.size*aimdDecrease), l.now
	}
}

// recovery returns the time after the end of the burst from which every window
// has full service.
func (l *overloadRun) recovery() time.Duration {
	recovered := burstEnd
	for w := int(burstEnd / overloadWindow); w < int(overloadDuration/overloadWindow); w++ {
		if l.windows[w].share() < fullShare {
			recovered = time.Duration(w+1) * overloadWindow
		}
	}
	return recovered - burstEnd
}

func (l *overloadRun) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: full service %s after the burst, %d openings for %d grants\n", l.overload.name, l.recovery(), l.openings, l.grants)
	for _, m := range []map[string]*tally{l.byKind, l.byClass} {
		for _, key := range slices.Sorted(maps.Keys(m)) {
			fmt.Fprintf(&b, "  %-12s %s\n", key, m[key])
		}
	}
	return b.String()
}
