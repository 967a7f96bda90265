package planner

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// log returns operations that admit, confirm and put in force n organisations,
// several plans at a time.
func operationsOf(n int) []Operation {
	var log []Operation
	for i := range n {
		id := fmt.Sprintf("i%d", i)
		log = append(log, admit(id, fmt.Sprintf("o%d", i)), confirm(id, "marko"))
		if i%4 == 3 {
			log = append(log, Operation{Kind: OperationInForce, Version: uint64(len(log)), Actor: "control-1"})
		}
	}
	return log
}

// applyAll applies a log to a book, which is stored and read again after each
// every operations, and returns the pages it sealed.
func applyAll(c *qt.C, log []Operation, every int) (*Book, []Page) {
	b := NewBook()
	var pages []Page
	for i, o := range log {
		_, err := b.Apply(o, uint64(i+1))
		c.Assert(err, qt.IsNil)
		pages = append(pages, b.TakePages()...)
		if every > 0 && i%every == 0 {
			body, err := b.Marshal()
			c.Assert(err, qt.IsNil)
			b, err = Unmarshal(body)
			c.Assert(err, qt.IsNil)
		}
	}
	return b, pages
}

func encode(c *qt.C, v any) string {
	body, err := json.Marshal(v)
	c.Assert(err, qt.IsNil)
	return string(body)
}

// TestPagesAreTheSameEverywhere applies one log on three control hosts, one of
// which restarts often.
func TestPagesAreTheSameEverywhere(t *testing.T) {
	c := qt.New(t)
	log := operationsOf(3000)
	first, pages := applyAll(c, log, 0)
	c.Assert(len(pages) >= 3, qt.IsTrue)
	for _, every := range []int{0, 997} {
		book, other := applyAll(c, log, every)
		c.Assert(encode(c, other) == encode(c, pages), qt.IsTrue)
		c.Assert(encode(c, book.Records) == encode(c, first.Records), qt.IsTrue)
		c.Assert(encode(c, book.Plans) == encode(c, first.Plans), qt.IsTrue)
	}
}

func TestPagesHoldEveryRecordOnce(t *testing.T) {
	c := qt.New(t)
	log := operationsOf(3000)
	book, pages := applyAll(c, log, 0)
	c.Assert(len(book.Records) < 2*PageRecords, qt.IsTrue)
	c.Assert(len(book.Plans) < 2*PageRecords, qt.IsTrue)
	var records []Record
	plans := len(book.Plans)
	for i, p := range pages {
		c.Assert(p.Number, qt.Equals, uint64(i))
		records = append(records, p.Records...)
		plans += len(p.Plans)
	}
	records = append(records, book.Records...)
	c.Assert(plans, qt.Equals, 3000)
	c.Assert(records, qt.HasLen, 9000)
	for i := 1; i < len(records); i++ {
		c.Assert(records[i].Index >= records[i-1].Index, qt.IsTrue)
	}
}

func TestResentIntentsOfPagedPlans(t *testing.T) {
	c := qt.New(t)
	log := operationsOf(3000)
	book, _ := applyAll(c, log, 997)
	next := uint64(len(log) + 1)
	var closed *ClosedError
	_, err := book.Apply(log[0], next)
	c.Assert(errors.As(err, &closed), qt.IsTrue, qt.Commentf("%v", err))
	var conflict *ConflictError
	_, err = book.Apply(admit("i0", "another"), next+1)
	c.Assert(errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
	last := log[len(log)-3]
	_, err = book.Apply(last, next+2)
	c.Assert(err, qt.IsNil)
}

func TestClosedSetIsBounded(t *testing.T) {
	c := qt.New(t)
	var s closedSet
	for i := range 2 * maxClosed {
		s.add(Intent{ID: fmt.Sprint(i)})
	}
	c.Assert(s.content, qt.HasLen, maxClosed)
	taken, _ := s.find(Intent{ID: "0"})
	c.Assert(taken, qt.IsFalse)
	taken, same := s.find(Intent{ID: fmt.Sprint(2*maxClosed - 1)})
	c.Assert(taken && same, qt.IsTrue)
	c.Assert(s.unmarshal([]byte("short")), qt.ErrorMatches, "planner: closed plans take 5 bytes.*")
}
