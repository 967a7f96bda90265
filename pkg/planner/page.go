package planner

import (
	"cmp"
	"slices"
	"strings"
)

// PageRecords is the number of records of one page. A Book holds up to twice as
// many; the older half then becomes a page.
const PageRecords = 2000

// Page is an old part of the record with the plans that were closed in it. It is
// never changed. Control hosts keep pages on disk, outside of the Book.
type Page struct {
	// Number counts pages from 0 without gaps.
	Number  uint64   `json:"number"`
	Records []Record `json:"records"`
	Plans   []*Plan  `json:"plans,omitempty"`
}

// Subjects returns the subjects of the page's records, each once.
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

// Pages returns the number of pages sealed so far.
func (b *Book) Pages() uint64 { return b.pages }

// TakePages returns the pages sealed since the last call. They must be stored
// before a snapshot of the Book is.
func (b *Book) TakePages() []Page {
	pages := b.sealed
	b.sealed = nil
	return pages
}

// seal turns the older half of a full record into a page. It depends on nothing
// but the applied operations, so every control host seals the same pages.
func (b *Book) seal() {
	if len(b.Records) < 2*PageRecords {
		return
	}
	p := Page{Number: b.pages, Records: slices.Clone(b.Records[:PageRecords])}
	last := p.Records[PageRecords-1].Index
	for id, plan := range b.Plans {
		if plan.Closed == 0 || plan.Closed > last {
			continue
		}
		p.Plans = append(p.Plans, plan)
		delete(b.Plans, id)
	}
	slices.SortFunc(p.Plans, func(x, y *Plan) int {
		if x.Closed != y.Closed {
			return cmp.Compare(x.Closed, y.Closed)
		}
		return strings.Compare(x.Intent.ID, y.Intent.ID)
	})
	for _, plan := range p.Plans {
		b.closed.add(plan.Intent)
	}
	b.Records = slices.Clone(b.Records[PageRecords:])
	b.pages++
	b.sealed = append(b.sealed, p)
}
