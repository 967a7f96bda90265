package burner

import (
	"sort"
	"time"

	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/planner"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

// maxCauses is the maximum number of causes listed for one subject.
const maxCauses = 10

// Input holds the data for a report.
type Input struct {
	Now   time.Time
	Pages []HostCounts
	// Missing lists the hosts whose counts could not be read.
	Missing []string
	// State provides the objectives and the rates of the organisations.
	State configurer.State
	// Records are the entries of the append-only record.
	Records []planner.Record
}

// Report states how much of each error budget was consumed and by which causes.
type Report struct {
	At       time.Time       `json:"at"`
	Hosts    []string        `json:"hosts"`
	Missing  []string        `json:"missing,omitempty"`
	Subjects []SubjectReport `json:"subjects"`
}

// SubjectReport reports on one organisation on one route.
type SubjectReport struct {
	Organisation string               `json:"organisation"`
	Route        string               `json:"route"`
	Objective    configurer.Objective `json:"objective"`
	Alert        Alert                `json:"alert"`
	Windows      []Window             `json:"windows"`
	// BudgetLeft is the fraction of the error budget that is left in the longest
	// window. It is negative if the budget is exceeded.
	BudgetLeft float64 `json:"budget_left"`
	// OverRate is the number of statements that were rightly refused as over the
	// rate. They consume no budget.
	OverRate int     `json:"over_rate"`
	Causes   []Cause `json:"causes,omitempty"`
}

// Cause is one cause of bad statements of a subject in the longest window.
type Cause struct {
	Host       string         `json:"host"`
	Outcome    Outcome        `json:"outcome"`
	Reason     refuser.Reason `json:"reason,omitempty"`
	Group      string         `json:"group,omitempty"`
	Upstream   string         `json:"upstream,omitempty"`
	Term       uint64         `json:"term,omitempty"`
	Statements int            `json:"statements"`
	// Share is the fraction of the subject's bad statements due to this cause.
	Share float64 `json:"share"`
	// Records are the records about the group and the upstream around the time
	// of the bad statements.
	Records []planner.Record `json:"records,omitempty"`

	first, last int64
}

// subjectKey identifies a subject.
type subjectKey struct{ organisation, route string }

// causeKey identifies a cause.
type causeKey struct {
	host   string
	labels Labels
}

// assessment accumulates the counts of one subject.
type assessment struct {
	statements, bad map[time.Duration]int
	overRate        int
	causes          map[causeKey]*Cause
}

// BuildReport builds a report from the counts of all hosts.
func BuildReport(in Input) Report {
	r := Report{At: in.Now, Missing: in.Missing, Subjects: []SubjectReport{}}
	all := map[subjectKey]*assessment{}
	covered := coveredShares(in)
	for _, p := range in.Pages {
		r.Hosts = append(r.Hosts, p.Host)
		for _, s := range p.Slots {
			for _, n := range s.Counts {
				all[subjectKeyOf(n.Labels)] = all[subjectKeyOf(n.Labels)].add(in.Now, p, s, n, covered[organisationSlot{n.Organisation, s.Start}])
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

func subjectKeyOf(c Labels) subjectKey { return subjectKey{c.Organisation, c.Route} }

// add adds the count n of a slot. The coveredShare is the fraction of statements
// refused as over the rate that the rate would have covered; these are bad.
func (a *assessment) add(now time.Time, p HostCounts, s Slot, n Count, coveredShare float64) *assessment {
	if a == nil {
		a = &assessment{statements: map[time.Duration]int{}, bad: map[time.Duration]int{}, causes: map[causeKey]*Cause{}}
	}
	counted, bad := n.Statements, 0
	switch n.Outcome {
	case OutcomeCallerError:
		return a
	case OutcomeOverRate:
		bad = int(float64(n.Statements)*coveredShare + 0.5)
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
		a.addToCause(p, s, n.Labels, bad)
	}
	return a
}

// addToCause adds bad statements to their cause.
func (a *assessment) addToCause(p HostCounts, s Slot, labels Labels, bad int) {
	key := causeKey{host: p.Host, labels: labels}
	c := a.causes[key]
	if c == nil {
		c = &Cause{
			Host: p.Host, Outcome: labels.Outcome, Reason: labels.Reason, Group: labels.Group,
			Upstream: labels.Upstream, Term: labels.Term, first: s.Start,
		}
		a.causes[key] = c
	}
	c.Statements += bad
	c.first = min(c.first, s.Start)
	c.last = max(c.last, s.Start+p.SlotSeconds)
}

// subject returns the subject of a report with the accumulated counts.
func (a *assessment) subject(key subjectKey, in Input) SubjectReport {
	s := SubjectReport{
		Organisation: key.organisation, Route: key.route, OverRate: a.overRate,
		Objective: in.State.Objective(key.organisation, key.route),
	}
	for _, w := range windows {
		window := Window{Seconds: int64(w / time.Second), Statements: a.statements[w], Bad: a.bad[w]}
		if window.Statements > 0 {
			window.BurnRate = float64(window.Bad) / float64(window.Statements) / s.Objective.ErrorBudget()
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

// recordsOf returns the records about the group or upstream of a cause, from one
// slot before the first bad statements to the end of the last slot with any.
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
