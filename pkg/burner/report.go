package burner

import (
	"sort"
	"time"

	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/planner"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

// maxCauses bounds the causes listed for one subject.
const maxCauses = 10

// Input is what a report is made of.
type Input struct {
	Now   time.Time
	Pages []Page
	// Missing are the hosts whose page could not be read.
	Missing []string
	// State gives the objectives and the organisations' rates.
	State configurer.State
	// Records are the written record.
	Records []planner.Record
}

// Report says how much of each budget was burned and by what.
type Report struct {
	At       time.Time `json:"at"`
	Hosts    []string  `json:"hosts"`
	Missing  []string  `json:"missing,omitempty"`
	Subjects []Subject `json:"subjects"`
}

// Subject is one organisation on one route.
type Subject struct {
	Organisation string               `json:"organisation"`
	Route        string               `json:"route"`
	Objective    configurer.Objective `json:"objective"`
	Alert        Alert                `json:"alert"`
	Windows      []Window             `json:"windows"`
	// BudgetLeft is the share of the longest window's budget that is left. It
	// is below zero when more was burned.
	BudgetLeft float64 `json:"budget_left"`
	// OverRate are the refused statements that were over the rate; they burn
	// nothing.
	OverRate int     `json:"over_rate"`
	Causes   []Cause `json:"causes,omitempty"`
}

// Cause is one reason for bad statements of a subject in the longest window.
type Cause struct {
	Host       string         `json:"host"`
	Outcome    Outcome        `json:"outcome"`
	Reason     refuser.Reason `json:"reason,omitempty"`
	Group      string         `json:"group,omitempty"`
	Upstream   string         `json:"upstream,omitempty"`
	Term       uint64         `json:"term,omitempty"`
	Statements int            `json:"statements"`
	// Share is the part of the subject's bad statements.
	Share float64 `json:"share"`
	// Records are what the record tells of the group and the upstream in the
	// time of the bad statements.
	Records []planner.Record `json:"records,omitempty"`

	first, last int64
}

// subjectKey names a subject.
type subjectKey struct{ organisation, route string }

// causeKey names a cause.
type causeKey struct {
	host string
	cell Cell
}

// assessment collects the counts of one subject.
type assessment struct {
	statements, bad map[time.Duration]int
	overRate        int
	causes          map[causeKey]*Cause
}

// Assess makes a report.
func Assess(in Input) Report {
	r := Report{At: in.Now, Missing: in.Missing, Subjects: []Subject{}}
	all := map[subjectKey]*assessment{}
	within := withinRate(in)
	for _, p := range in.Pages {
		r.Hosts = append(r.Hosts, p.Host)
		for _, s := range p.Slots {
			for _, n := range s.Counts {
				all[keyOf(n.Cell)] = all[keyOf(n.Cell)].add(in.Now, p, s, n, within[rateSlot{n.Organisation, s.Start}])
			}
		}
	}
	for key, a := range all {
		r.Subjects = append(r.Subjects, a.subject(key, in))
	}
	sort.Strings(r.Hosts)
	sort.Slice(r.Subjects, func(i, j int) bool {
		a, b := r.Subjects[i], r.Subjects[j]
		if a.BudgetLeft != b.BudgetLeft {
			return a.BudgetLeft < b.BudgetLeft
		}
		return a.Organisation+"/"+a.Route < b.Organisation+"/"+b.Route
	})
	return r
}

func keyOf(c Cell) subjectKey { return subjectKey{c.Organisation, c.Route} }

// add counts n statements of a slot. wrongful is the share of the statements
// over the rate that were within it.
func (a *assessment) add(now time.Time, p Page, s Slot, n Count, wrongful float64) *assessment {
	if a == nil {
		a = &assessment{statements: map[time.Duration]int{}, bad: map[time.Duration]int{}, causes: map[causeKey]*Cause{}}
	}
	counted, bad := n.Statements, 0
	switch n.Outcome {
	case OutcomeCaller:
		return a
	case OutcomeOverRate:
		bad = int(float64(n.Statements)*wrongful + 0.5)
		counted = bad
		a.overRate += n.Statements - bad
	case OutcomeFailed, OutcomeSlow:
		bad = n.Statements
	}
	end := time.Unix(s.Start+p.SlotSeconds, 0)
	for _, w := range windows {
		if now.Sub(end) >= w {
			continue
		}
		a.statements[w] += counted
		a.bad[w] += bad
	}
	if bad > 0 && now.Sub(end) < longestWindow {
		a.blame(p, s, n.Cell, bad)
	}
	return a
}

// blame adds bad statements to their cause.
func (a *assessment) blame(p Page, s Slot, cell Cell, bad int) {
	key := causeKey{host: p.Host, cell: cell}
	c := a.causes[key]
	if c == nil {
		c = &Cause{
			Host: p.Host, Outcome: cell.Outcome, Reason: cell.Reason, Group: cell.Group,
			Upstream: cell.Upstream, Term: cell.Term, first: s.Start,
		}
		a.causes[key] = c
	}
	c.Statements += bad
	c.first = min(c.first, s.Start)
	c.last = max(c.last, s.Start+p.SlotSeconds)
}

// subject turns the counts into the subject of a report.
func (a *assessment) subject(key subjectKey, in Input) Subject {
	s := Subject{
		Organisation: key.organisation, Route: key.route, OverRate: a.overRate,
		Objective: in.State.Objective(key.organisation, key.route),
	}
	for _, w := range windows {
		window := Window{Seconds: int64(w / time.Second), Statements: a.statements[w], Bad: a.bad[w]}
		if window.Statements > 0 {
			window.BurnRate = float64(window.Bad) / float64(window.Statements) / s.Objective.Budget()
		}
		s.Windows = append(s.Windows, window)
	}
	s.Alert = alertOf(s.Windows)
	s.BudgetLeft = 1 - s.Windows[len(s.Windows)-1].BurnRate
	for _, c := range a.causes {
		c.Share = float64(c.Statements) / float64(a.bad[longestWindow])
		c.Records = recordsOf(in.Records, *c)
		s.Causes = append(s.Causes, *c)
	}
	sort.Slice(s.Causes, func(i, j int) bool {
		x, y := s.Causes[i], s.Causes[j]
		if x.Statements != y.Statements {
			return x.Statements > y.Statements
		}
		return x.Host+string(x.Reason)+x.Upstream < y.Host+string(y.Reason)+y.Upstream
	})
	s.Causes = s.Causes[:min(len(s.Causes), maxCauses)]
	return s
}

// recordsOf returns what the record tells of a cause's group and upstream from
// one slot before the bad statements to their end.
func recordsOf(records []planner.Record, c Cause) []planner.Record {
	var found []planner.Record
	for _, r := range records {
		if r.Subject == "" || r.Subject != c.Group && r.Subject != c.Upstream {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, r.At)
		if err != nil || at.Unix() < c.first-int64(DefaultSlot/time.Second) || at.Unix() > c.last {
			continue
		}
		found = append(found, r)
	}
	return found
}
