package planner

import (
	"cmp"
	"slices"
	"strings"
)

// RecordsPerPage is the number of records in a page. When a StateMachine holds
// twice as many, the older half is moved into a page.
const RecordsPerPage = 2000

// Page is an immutable segment of old records together with the plans that were
// closed in it. Control hosts store pages on disk, outside the StateMachine.
type Page struct {
	// Number is consecutive and starts at 0.
	Number  uint64   `json:"number"`
	Records []Record `json:"records"`
	Plans   []*Plan  `json:"plans,omitempty"`
}

// Subjects returns the distinct subjects of the page's records.
func (p Page) Subjects() []string {
	var subjects []string
	seen := map[string]bool{}
	for _, r := range p.Records {
		if !seen[r.Subject] {
			seen[r.Subject] = true
			subjects = append(subjects, r.Subject)
		}
	}
	return subjects
}

// PageCount returns the number of pages sealed so far.
func (m *StateMachine) PageCount() uint64 { return m.pageCount }

// DrainSealedPages returns the pages sealed since the last call. They must be
// stored before a snapshot of the state machine, which no longer contains them.
func (m *StateMachine) DrainSealedPages() []Page {
	pages := m.sealedPages
	m.sealedPages = nil
	return pages
}

// sealPage moves the older half of the records into a page once there are
// 2*RecordsPerPage. It depends only on the applied operations, so every control
// host seals the same pages.
func (m *StateMachine) sealPage() {
	if len(m.Records) < 2*RecordsPerPage {
		return
	}
	p := Page{Number: m.pageCount, Records: slices.Clone(m.Records[:RecordsPerPage])}
	lastIndex := p.Records[RecordsPerPage-1].Index
	for id, plan := range m.Plans {
		if plan.ClosedIndex == 0 || plan.ClosedIndex > lastIndex {
			continue
		}
		p.Plans = append(p.Plans, plan)
		delete(m.Plans, id)
	}
	slices.SortFunc(p.Plans, func(x, y *Plan) int {
		if x.ClosedIndex != y.ClosedIndex {
			return cmp.Compare(x.ClosedIndex, y.ClosedIndex)
		}
		return strings.Compare(x.Intent.ID, y.Intent.ID)
	})
	for _, plan := range p.Plans {
		m.closed.add(plan.Intent)
	}
	m.Records = slices.Clone(m.Records[RecordsPerPage:])
	m.pageCount++
	m.sealedPages = append(m.sealedPages, p)
}
