// Package planner turns operators' intents into plans, and confirmed plans
// into configuration, and keeps the written record of both and of what the
// fleet did by itself.
//
// # Usage
//
//	b := planner.NewBook()
//	result, err := b.Apply(operation, index)
//	changes := b.Since(version)
//
// A Book is plain state. Every control host applies the same operations in the
// same order and arrives at the same Book; the index of an operation in the
// agreed log is the version of the configuration that it makes.
package planner

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/shallotstage/shallotstage/pkg/configurer"
)

// recentChanges is the least number of changes kept for hosts that are a little
// behind; at twice as many the older half is dropped.
const recentChanges = 8192

// Book is the agreed state of the fleet.
type Book struct {
	State   configurer.State
	Plans   map[string]*Plan
	Records []Record
	// pages is the number of pages sealed, and sealed those not taken yet.
	pages  uint64
	sealed []Page
	// closed are the plans that pages hold.
	closed closedSet
	// touched is the version at which each entry last changed.
	touched map[string]uint64
	recent  []configurer.Change
	// horizon is the version up to which recent lacks changes.
	horizon uint64
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{Plans: map[string]*Plan{}, touched: map[string]uint64{}}
}

// Apply carries out an agreed operation. It returns the plan concerned, if
// any. An error means that the operation changed nothing but the record.
func (b *Book) Apply(o Operation, index uint64) (*Plan, error) {
	p, err := b.apply(o, index)
	b.seal()
	return p, err
}

func (b *Book) apply(o Operation, index uint64) (*Plan, error) {
	switch o.Kind {
	case OperationIntent:
		return b.intend(o, index)
	case OperationComment:
		return b.comment(o, index)
	case OperationConfirm:
		return b.confirm(o, index)
	case OperationReject:
		return b.reject(o, index)
	case OperationFleet:
		return nil, b.applyFleet(o, index)
	case OperationInForce:
		b.noteInForce(o, index)
		return nil, nil
	}
	return nil, fmt.Errorf("planner: unknown operation %q", o.Kind)
}

func (b *Book) record(o Operation, index uint64, kind RecordKind, subject, actor, text string, version uint64) {
	b.Records = append(b.Records, Record{
		Index: index, At: o.At, Kind: kind, Subject: subject, Actor: actor, Text: text, Version: version,
	})
}

func (b *Book) intend(o Operation, index uint64) (*Plan, error) {
	i := *o.Intent
	if old := b.Plans[i.ID]; old != nil {
		if !old.Intent.Equal(i) {
			return nil, conflict(i.ID, "an intent with this id and other content exists")
		}
		return old, nil
	}
	if taken, same := b.closed.find(i); taken {
		if !same {
			return nil, conflict(i.ID, "an intent with this id and other content exists")
		}
		return nil, &ClosedError{ID: i.ID}
	}
	p, err := b.draft(i)
	if err != nil {
		return nil, err
	}
	p.At = o.At
	b.Plans[i.ID] = p
	b.record(o, index, RecordIntent, i.ID, i.Author, fmt.Sprintf("%s %s: %s", i.Kind, i.Target, i.Reason), 0)
	return p, nil
}

func (b *Book) comment(o Operation, index uint64) (*Plan, error) {
	p := b.Plans[o.Plan]
	if p == nil {
		return nil, conflict(o.Plan, "no such plan")
	}
	p.Comments = append(p.Comments, Comment{Author: o.Actor, At: o.At, Text: o.Text})
	b.record(o, index, RecordComment, o.Plan, o.Actor, o.Text, 0)
	return p, nil
}

// confirm puts a plan into the configuration. A plan whose entries changed
// since it was made is planned anew and must be confirmed again.
func (b *Book) confirm(o Operation, index uint64) (*Plan, error) {
	p := b.Plans[o.Plan]
	switch {
	case p == nil:
		return nil, conflict(o.Plan, "no such plan")
	case p.Status != StatusOpen && p.Reviewer == o.Actor && p.Status != StatusRejected:
		return p, nil
	case p.Status != StatusOpen:
		return nil, conflict(o.Plan, "plan is %s", p.Status)
	case o.Actor == p.Intent.Author:
		return nil, conflict(o.Plan, "the author cannot confirm; another operator must")
	}
	if b.baseOf(p.Changes) != p.Base {
		return b.replan(o, p, index)
	}
	if err := b.put(p.Changes, index); err != nil {
		return nil, conflict(o.Plan, "%v", err)
	}
	p.Status = StatusConfirmed
	p.Reviewer = o.Actor
	p.Version = index
	b.record(o, index, RecordConfirmed, o.Plan, o.Actor, "confirmed", index)
	return p, nil
}

// replan drafts a plan again on the present configuration.
func (b *Book) replan(o Operation, p *Plan, index uint64) (*Plan, error) {
	fresh, err := b.draft(p.Intent)
	if err != nil {
		p.Status = StatusSuperseded
		p.Closed = index
		b.record(o, index, RecordSuperseded, o.Plan, o.Actor, "configuration changed: "+err.Error(), 0)
		return nil, conflict(o.Plan, "configuration changed since the plan was made: %v", err)
	}
	fresh.At, fresh.Comments = p.At, p.Comments
	b.Plans[o.Plan] = fresh
	b.record(o, index, RecordSuperseded, o.Plan, o.Actor, "configuration changed; planned anew", 0)
	return nil, conflict(o.Plan, "configuration changed since the plan was made; read the new plan and confirm it")
}

func (b *Book) reject(o Operation, index uint64) (*Plan, error) {
	p := b.Plans[o.Plan]
	if p == nil {
		return nil, conflict(o.Plan, "no such plan")
	}
	if p.Status == StatusRejected {
		return p, nil
	}
	if p.Status != StatusOpen {
		return nil, conflict(o.Plan, "plan is %s", p.Status)
	}
	p.Status = StatusRejected
	p.Closed = index
	p.Reviewer = o.Actor
	b.record(o, index, RecordRejected, o.Plan, o.Actor, o.Text, 0)
	return p, nil
}

// applyFleet carries out a change that the fleet decided on. A change of a
// group must follow on the group's present term and phase.
func (b *Book) applyFleet(o Operation, index uint64) error {
	for _, c := range o.Changes {
		if err := b.checkGroup(c); err != nil {
			return err
		}
	}
	if err := b.put(o.Changes, index); err != nil {
		return conflict(o.Subject, "%v", err)
	}
	if o.Text != "" {
		b.record(o, index, RecordFleet, o.Subject, o.Actor, o.Text, index)
	}
	return nil
}

// checkGroup refuses a group change of an earlier term, or a second candidate
// of a term.
func (b *Book) checkGroup(c configurer.Change) error {
	if c.Kind != configurer.KindGroup || c.Body == nil {
		return nil
	}
	var g configurer.Group
	if err := json.Unmarshal(c.Body, &g); err != nil {
		return fmt.Errorf("planner: decode group: %w", err)
	}
	old, ok := b.State.Groups[g.ID]
	if !ok {
		return nil
	}
	if g.Term < old.Term {
		return conflict(g.ID, "term %d is below %d", g.Term, old.Term)
	}
	if g.Term == old.Term && old.Candidate != "" && g.Candidate != old.Candidate && g.Primary != old.Candidate {
		return conflict(g.ID, "term %d already has candidate %s", g.Term, old.Candidate)
	}
	if g.Term == old.Term && old.Primary != "" && g.Primary != old.Primary {
		return conflict(g.ID, "term %d already has primary %s", g.Term, old.Primary)
	}
	return nil
}

// noteInForce closes the plans that are in force everywhere, in the order of
// their ids, so that every control host writes the same record.
func (b *Book) noteInForce(o Operation, index uint64) {
	var ids []string
	for id, p := range b.Plans {
		if p.Status == StatusConfirmed && p.Version <= o.Version {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		p := b.Plans[id]
		p.Status = StatusInForce
		p.Closed = index
		p.InForce = o.At
		b.record(o, index, RecordInForce, id, o.Actor, fmt.Sprintf("version %d is in force on every host", p.Version), p.Version)
	}
}

// put applies changes under the version index.
func (b *Book) put(changes []configurer.Change, index uint64) error {
	versioned := slices.Clone(changes)
	for i := range versioned {
		versioned[i].Version = index
	}
	next, err := b.State.ApplyAll(versioned)
	if err != nil {
		return err
	}
	b.State = next
	for _, c := range versioned {
		b.touched[entryKey(c)] = index
	}
	b.recent = append(b.recent, versioned...)
	if len(b.recent) > 2*recentChanges {
		n := len(b.recent) - recentChanges
		b.horizon = b.recent[n-1].Version
		b.recent = slices.Clone(b.recent[n:])
	}
	return nil
}

func entryKey(c configurer.Change) string { return string(c.Kind) + "/" + c.ID }

// baseOf returns the highest version at which an entry of changes was changed.
func (b *Book) baseOf(changes []configurer.Change) uint64 {
	base := uint64(0)
	for _, c := range changes {
		base = max(base, b.touched[entryKey(c)])
	}
	return base
}

// Since returns the changes after version, and false when a snapshot is needed.
func (b *Book) Since(version uint64) ([]configurer.Change, bool) {
	if version < b.horizon {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(b.recent, version+1, func(c configurer.Change, v uint64) int {
		switch {
		case c.Version < v:
			return -1
		case c.Version > v:
			return 1
		}
		return 0
	})
	return b.recent[i:], true
}

// Explain returns the records of one subject in order, of those that are in no
// page.
func (b *Book) Explain(subject string) []Record { return RecordsOf(b.Records, subject) }

// image is the stored form of a Book.
type image struct {
	Version uint64              `json:"version"`
	Changes []configurer.Change `json:"changes"`
	Plans   map[string]*Plan    `json:"plans"`
	Records []Record            `json:"records"`
	Touched map[string]uint64   `json:"touched"`
	Pages   uint64              `json:"pages,omitempty"`
	Closed  []byte              `json:"closed,omitempty"`
}

// Marshal returns the stored form.
func (b *Book) Marshal() ([]byte, error) {
	changes, err := b.State.Snapshot()
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(image{
		Version: b.State.Version, Changes: changes, Plans: b.Plans, Records: b.Records, Touched: b.touched,
		Pages: b.pages, Closed: b.closed.marshal(),
	})
	if err != nil {
		return nil, fmt.Errorf("planner: encode book: %w", err)
	}
	return body, nil
}

// Unmarshal reads the stored form.
func Unmarshal(body []byte) (*Book, error) {
	b := NewBook()
	if len(body) == 0 {
		return b, nil
	}
	var i image
	if err := json.Unmarshal(body, &i); err != nil {
		return nil, fmt.Errorf("planner: decode book: %w", err)
	}
	state, err := configurer.State{}.ApplyAll(i.Changes)
	if err != nil {
		return nil, err
	}
	state.Version = i.Version
	b.State = state
	b.horizon = i.Version
	b.Records = i.Records
	b.pages = i.Pages
	if err := b.closed.unmarshal(i.Closed); err != nil {
		return nil, err
	}
	if i.Plans != nil {
		b.Plans = i.Plans
	}
	if i.Touched != nil {
		b.touched = i.Touched
	}
	return b, nil
}
