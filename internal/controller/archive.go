package controller

import (
	"encoding/json"
	"fmt"

	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/pkg/planner"
)

// savePages stores the pages that the state machine has sealed. It must run
// before a snapshot that no longer contains their records is stored.
func (c *Controller) savePages() error {
	for _, p := range c.stateMachine.DrainSealedPages() {
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
	compressed, err := messenger.Compress(body)
	if err != nil {
		return err
	}
	return c.store.SavePage(p.Number, p.Subjects(), compressed)
}

// FirstMissingPage returns the number of the first archived page that this host
// does not store, and false if it stores all of them.
func (c *Controller) FirstMissingPage() (uint64, bool) {
	have, err := c.store.PageCount()
	return have, err == nil && have < c.pages.Load()
}

// ArchivedPageCount returns the number of consecutive pages from page 0 that this
// host stores.
func (c *Controller) ArchivedPageCount() uint64 {
	have, _ := c.store.PageCount()
	return have
}

// CompressedPage returns a stored page in the compressed form that is sent to
// other control hosts, or nil if it is not stored.
func (c *Controller) CompressedPage(number uint64) ([]byte, error) { return c.store.Page(number) }

// StorePage stores a compressed page received from another control host.
func (c *Controller) StorePage(compressed []byte) error {
	p, err := decompressPage(compressed)
	if err != nil {
		return err
	}
	return c.store.SavePage(p.Number, p.Subjects(), compressed)
}

func decompressPage(compressed []byte) (planner.Page, error) {
	var p planner.Page
	body, err := messenger.Decompress(compressed)
	if err != nil {
		return p, err
	}
	if err := json.Unmarshal(body, &p); err != nil {
		return p, fmt.Errorf("controller: decode page: %w", err)
	}
	return p, nil
}

// ArchivedPageRecords returns the records of an archived page, or nil if there
// is no such page.
func (c *Controller) ArchivedPageRecords(number uint64) ([]planner.Record, error) {
	compressed, err := c.store.Page(number)
	if err != nil || compressed == nil {
		return nil, err
	}
	p, err := decompressPage(compressed)
	return p.Records, err
}

// ArchivedRecords returns the archived records of a subject, oldest first.
func (c *Controller) ArchivedRecords(subject string) ([]planner.Record, error) {
	var records []planner.Record
	err := c.eachPageOf(subject, func(p planner.Page) {
		records = append(records, planner.FilterRecords(p.Records, subject)...)
	})
	return records, err
}

// ArchivedPlan returns a closed plan from the archived pages, or nil if there is
// none with this ID.
func (c *Controller) ArchivedPlan(id string) (*planner.Plan, error) {
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

// eachPageOf calls visit for each archived page with records of a subject.
func (c *Controller) eachPageOf(subject string, visit func(planner.Page)) error {
	numbers, err := c.store.PagesBySubject(subject)
	if err != nil {
		return err
	}
	for _, n := range numbers {
		compressed, err := c.store.Page(n)
		if err != nil {
			return err
		}
		p, err := decompressPage(compressed)
		if err != nil {
			return err
		}
		visit(p)
	}
	return nil
}
