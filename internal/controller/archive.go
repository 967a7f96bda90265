package controller

import (
	"encoding/json"
	"fmt"

	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/pkg/planner"
)

// savePages stores the pages that the book has sealed. It runs before any
// snapshot without them is stored.
func (c *Controller) savePages() error {
	for _, p := range c.book.TakePages() {
		if err := c.savePage(p); err != nil {
			return err
		}
	}
	return nil
}

func (c *Controller) savePage(p planner.Page) error {
	body, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("controller: encode page: %w", err)
	}
	packed, err := messenger.Pack(body)
	if err != nil {
		return err
	}
	return c.store.SavePage(p.Number, p.Subjects(), packed)
}

// MissingPage returns the number of the first page of the record that this host
// lacks, and false when it has all.
func (c *Controller) MissingPage() (uint64, bool) {
	have, err := c.store.Pages()
	return have, err == nil && have < c.pages.Load()
}

// ArchivedPages returns the number of pages that this host has without a gap.
func (c *Controller) ArchivedPages() uint64 {
	have, _ := c.store.Pages()
	return have
}

// Page returns a stored page as other control hosts take it, or nil.
func (c *Controller) Page(number uint64) ([]byte, error) { return c.store.Page(number) }

// TakePage stores a page that another control host sent.
func (c *Controller) TakePage(packed []byte) error {
	p, err := unpackPage(packed)
	if err != nil {
		return err
	}
	return c.store.SavePage(p.Number, p.Subjects(), packed)
}

func unpackPage(packed []byte) (planner.Page, error) {
	var p planner.Page
	body, err := messenger.Unpack(packed)
	if err != nil {
		return p, err
	}
	if err := json.Unmarshal(body, &p); err != nil {
		return p, fmt.Errorf("controller: decode page: %w", err)
	}
	return p, nil
}

// OldPage returns a page's records, or nil when there is no such page.
func (c *Controller) OldPage(number uint64) ([]planner.Record, error) {
	packed, err := c.store.Page(number)
	if err != nil || packed == nil {
		return nil, err
	}
	p, err := unpackPage(packed)
	return p.Records, err
}

// OldRecords returns the records of a subject that are in pages, in order.
func (c *Controller) OldRecords(subject string) ([]planner.Record, error) {
	var records []planner.Record
	err := c.eachPageOf(subject, func(p planner.Page) {
		records = append(records, planner.RecordsOf(p.Records, subject)...)
	})
	return records, err
}

// OldPlan returns a closed plan that is in a page, or nil.
func (c *Controller) OldPlan(id string) (*planner.Plan, error) {
	var found *planner.Plan
	err := c.eachPageOf(id, func(p planner.Page) {
		for _, plan := range p.Plans {
			if plan.Intent.ID == id {
				found = plan
			}
		}
	})
	return found, err
}

// eachPageOf reads the pages with records of a subject.
func (c *Controller) eachPageOf(subject string, visit func(planner.Page)) error {
	numbers, err := c.store.PagesOf(subject)
	if err != nil {
		return err
	}
	for _, n := range numbers {
		packed, err := c.store.Page(n)
		if err != nil {
			return err
		}
		p, err := unpackPage(packed)
		if err != nil {
			return err
		}
		visit(p)
	}
	return nil
}
