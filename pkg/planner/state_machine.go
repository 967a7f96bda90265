// Package planner turns operators' intents into plans and confirmed plans into
// configuration changes. It also keeps an audit record of both and of the
// changes that the fleet made automatically.
//
// # Usage
//
//	b := planner.NewStateMachine()
//	result, err := b.Apply(operation, index)
//	changes := b.ChangesSince(version)
//
// A StateMachine is deterministic. Every control host applies the same
// operations in the same order and reaches the same state. The index of an
// operation in the replicated log is the version of the configuration that it
// produces.
package planner

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/shallotstage/shallotstage/pkg/configurer"
)

// minRecentChanges is the minimum number of changes kept for hosts that are
// slightly behind. At twice this number the older half is dropped.
const minRecentChanges = 8192

// StateMachine is the replicated state of the fleet: its configuration, open
// plans and recent audit records.
type StateMachine struct {
	State   configurer.State
	Plans   map[string]*Plan
	Records []Record
	// pageCount is the number of pages sealed so far; sealedPages are those that
	// DrainSealedPages has not returned yet.
	pageCount   uint64
	sealedPages []Page
	// closed holds the intents of plans that were moved into pages.
	closed closedSet
	// entryVersions maps each entry to the version at which it last changed.
	entryVersions map[string]uint64
	recent        []configurer.Change
	// compactedVersion is the version up to which recent has no changes.
	compactedVersion uint64
}

// NewStateMachine returns an empty StateMachine.
func NewStateMachine() *StateMachine {
	return &StateMachine{Plans: map[string]*Plan{}, entryVersions: map[string]uint64{}}
}

// Apply executes a committed operation and returns the plan that it concerns,
// if any. On error the configuration is unchanged, but the plan may have been
// drafted again or superseded.
func (m *StateMachine) Apply(o Operation, index uint64) (*Plan, error) {
	p, err := m.apply(o, index)
	m.sealPage()
	return p, err
}

func (m *StateMachine) apply(o Operation, index uint64) (*Plan, error) {
	switch o.Kind {
	case OperationIntent:
		return m.applyIntent(o, index)
	case OperationComment:
		return m.addComment(o, index)
	case OperationConfirm:
		return m.confirmPlan(o, index)
	case OperationReject:
		return m.rejectPlan(o, index)
	case OperationFleetChange:
		return nil, m.applyFleetChange(o, index)
	case OperationInForce:
		m.markInForce(o, index)
		return nil, nil
	}
	return nil, fmt.Errorf("planner: unknown operation %q", o.Kind)
}

func (m *StateMachine) addRecord(o Operation, index uint64, kind RecordKind, subject, actor, text string, version uint64) {
	m.Records = append(m.Records, Record{
		Index: index, At: o.At, Kind: kind, Subject: subject, Actor: actor, Text: text, Version: version,
	})
}

func (m *StateMachine) applyIntent(o Operation, index uint64) (*Plan, error) {
	i := *o.Intent
	if existing := m.Plans[i.ID]; existing != nil {
		if !existing.Intent.Equal(i) {
			return nil, conflict(i.ID, "an intent with this id and other content exists")
		}
		return existing, nil
	}
	if taken, same := m.closed.find(i); taken {
		if !same {
			return nil, conflict(i.ID, "an intent with this id and other content exists")
		}
		return nil, &ClosedError{ID: i.ID}
	}
	p, err := m.draft(i)
	if err != nil {
		return nil, err
	}
	p.At = o.At
	m.Plans[i.ID] = p
	m.addRecord(o, index, RecordIntent, i.ID, i.Author, fmt.Sprintf("%s %s: %s", i.Kind, i.Target, i.Reason), 0)
	return p, nil
}

func (m *StateMachine) addComment(o Operation, index uint64) (*Plan, error) {
	p := m.Plans[o.PlanID]
	if p == nil {
		return nil, conflict(o.PlanID, "no such plan")
	}
	p.Comments = append(p.Comments, Comment{Author: o.Actor, At: o.At, Text: o.Text})
	m.addRecord(o, index, RecordComment, o.PlanID, o.Actor, o.Text, 0)
	return p, nil
}

// confirmPlan applies the changes of a plan. If its entries have changed since
// the plan was drafted, it is drafted again and must be confirmed again.
func (m *StateMachine) confirmPlan(o Operation, index uint64) (*Plan, error) {
	p := m.Plans[o.PlanID]
	switch {
	case p == nil:
		return nil, conflict(o.PlanID, "no such plan")
	case p.Status != StatusOpen && p.Reviewer == o.Actor && p.Status != StatusRejected:
		return p, nil
	case p.Status != StatusOpen:
		return nil, conflict(o.PlanID, "plan is %s", p.Status)
	case o.Actor == p.Intent.Author:
		return nil, conflict(o.PlanID, "the author cannot confirm; another operator must")
	}
	if m.baseVersion(p.Changes) != p.BaseVersion {
		return m.replan(o, p, index)
	}
	if err := m.applyChanges(p.Changes, index); err != nil {
		return nil, conflict(o.PlanID, "%v", err)
	}
	p.Status = StatusConfirmed
	p.Reviewer = o.Actor
	p.Version = index
	m.addRecord(o, index, RecordConfirmed, o.PlanID, o.Actor, "confirmed", index)
	return p, nil
}

// replan drafts a plan again on the current configuration.
func (m *StateMachine) replan(o Operation, p *Plan, index uint64) (*Plan, error) {
	redrafted, err := m.draft(p.Intent)
	if err != nil {
		p.Status = StatusSuperseded
		p.ClosedIndex = index
		m.addRecord(o, index, RecordSuperseded, o.PlanID, o.Actor, "configuration changed: "+err.Error(), 0)
		return nil, conflict(o.PlanID, "configuration changed since the plan was made: %v", err)
	}
	redrafted.At, redrafted.Comments = p.At, p.Comments
	m.Plans[o.PlanID] = redrafted
	m.addRecord(o, index, RecordSuperseded, o.PlanID, o.Actor, "configuration changed; planned anew", 0)
	return nil, conflict(o.PlanID, "configuration changed since the plan was made; read the new plan and confirm it")
}

func (m *StateMachine) rejectPlan(o Operation, index uint64) (*Plan, error) {
	p := m.Plans[o.PlanID]
	if p == nil {
		return nil, conflict(o.PlanID, "no such plan")
	}
	if p.Status == StatusRejected {
		return p, nil
	}
	if p.Status != StatusOpen {
		return nil, conflict(o.PlanID, "plan is %s", p.Status)
	}
	p.Status = StatusRejected
	p.ClosedIndex = index
	p.Reviewer = o.Actor
	m.addRecord(o, index, RecordRejected, o.PlanID, o.Actor, o.Text, 0)
	return p, nil
}

// applyFleetChange applies a change that the fleet made automatically. A change
// of a group must be consistent with the group's current term and phase.
func (m *StateMachine) applyFleetChange(o Operation, index uint64) error {
	for _, c := range o.Changes {
		if err := m.checkGroupChange(c); err != nil {
			return err
		}
	}
	if err := m.applyChanges(o.Changes, index); err != nil {
		return conflict(o.Subject, "%v", err)
	}
	if o.Text != "" {
		m.addRecord(o, index, RecordFleetChange, o.Subject, o.Actor, o.Text, index)
	}
	return nil
}

// checkGroupChange rejects a group change that has an earlier term, or that sets
// a second candidate or primary in the same term.
func (m *StateMachine) checkGroupChange(c configurer.Change) error {
	if c.Kind != configurer.KindGroup || c.Body == nil {
		return nil
	}
	var g configurer.Group
	if err := json.Unmarshal(c.Body, &g); err != nil {
		return fmt.Errorf("planner: decode group: %w", err)
	}
	existing, ok := m.State.Groups[g.ID]
	if !ok {
		return nil
	}
	if g.Term < existing.Term {
		return conflict(g.ID, "term %d is below %d", g.Term, existing.Term)
	}
	if g.Term == existing.Term && existing.Candidate != "" && g.Candidate != existing.Candidate && g.Primary != existing.Candidate {
		return conflict(g.ID, "term %d already has candidate %s", g.Term, existing.Candidate)
	}
	if g.Term == existing.Term && existing.Primary != "" && g.Primary != existing.Primary {
		return conflict(g.ID, "term %d already has primary %s", g.Term, existing.Primary)
	}
	return nil
}

// markInForce closes the plans that are in force on every host. It goes through
// them in order of their ids so that every control host writes the same records.
func (m *StateMachine) markInForce(o Operation, index uint64) {
	var ids []string
	for id, p := range m.Plans {
		if p.Status == StatusConfirmed && p.Version <= o.Version {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		p := m.Plans[id]
		p.Status = StatusInForce
		p.ClosedIndex = index
		p.InForce = o.At
		m.addRecord(o, index, RecordInForce, id, o.Actor, fmt.Sprintf("version %d is in force on every host", p.Version), p.Version)
	}
}

// applyChanges applies configuration changes and sets their version to index.
func (m *StateMachine) applyChanges(changes []configurer.Change, index uint64) error {
	versioned := slices.Clone(changes)
	for i := range versioned {
		versioned[i].Version = index
	}
	next, err := m.State.ApplyAll(versioned)
	if err != nil {
		return err
	}
	m.State = next
	for _, c := range versioned {
		m.entryVersions[entryKey(c)] = index
	}
	m.recent = append(m.recent, versioned...)
	if len(m.recent) > 2*minRecentChanges {
		n := len(m.recent) - minRecentChanges
		m.compactedVersion = m.recent[n-1].Version
		m.recent = slices.Clone(m.recent[n:])
	}
	return nil
}

func entryKey(c configurer.Change) string { return string(c.Kind) + "/" + c.ID }

// baseVersion returns the highest version at which any entry in changes was last
// changed.
func (m *StateMachine) baseVersion(changes []configurer.Change) uint64 {
	version := uint64(0)
	for _, c := range changes {
		version = max(version, m.entryVersions[entryKey(c)])
	}
	return version
}

// ChangesSince returns the changes after version. It returns false if some of
// them are no longer kept, in which case the caller needs a snapshot.
func (m *StateMachine) ChangesSince(version uint64) ([]configurer.Change, bool) {
	if version < m.compactedVersion {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(m.recent, version+1, func(c configurer.Change, v uint64) int {
		switch {
		case c.Version < v:
			return -1
		case c.Version > v:
			return 1
		}
		return 0
	})
	return m.recent[i:], true
}

// RecordsFor returns the records of one subject in order, without those already
// moved into pages.
func (m *StateMachine) RecordsFor(subject string) []Record { return FilterRecords(m.Records, subject) }

// stateMachineSnapshot is the serialised form of a StateMachine.
type stateMachineSnapshot struct {
	Version uint64              `json:"version"`
	Changes []configurer.Change `json:"changes"`
	Plans   map[string]*Plan    `json:"plans"`
	Records []Record            `json:"records"`
	Touched map[string]uint64   `json:"touched"`
	Pages   uint64              `json:"pages,omitempty"`
	Closed  []byte              `json:"closed,omitempty"`
}

// Marshal returns the serialised form of the StateMachine.
func (m *StateMachine) Marshal() ([]byte, error) {
	changes, err := m.State.Snapshot()
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(stateMachineSnapshot{
		Version: m.State.Version, Changes: changes, Plans: m.Plans, Records: m.Records, Touched: m.entryVersions,
		Pages: m.pageCount, Closed: m.closed.marshal(),
	})
	if err != nil {
		return nil, fmt.Errorf("planner: encode state machine: %w", err)
	}
	return body, nil
}

// Unmarshal decodes a StateMachine that Marshal has encoded. An empty body
// yields an empty StateMachine.
func Unmarshal(body []byte) (*StateMachine, error) {
	m := NewStateMachine()
	if len(body) == 0 {
		return m, nil
	}
	var snapshot stateMachineSnapshot
	if err := json.Unmarshal(body, &snapshot); err != nil {
		return nil, fmt.Errorf("planner: decode state machine: %w", err)
	}
	state, err := configurer.State{}.ApplyAll(snapshot.Changes)
	if err != nil {
		return nil, err
	}
	state.Version = snapshot.Version
	m.State = state
	m.compactedVersion = snapshot.Version
	m.Records = snapshot.Records
	m.pageCount = snapshot.Pages
	if err := m.closed.unmarshal(snapshot.Closed); err != nil {
		return nil, err
	}
	if snapshot.Plans != nil {
		m.Plans = snapshot.Plans
	}
	if snapshot.Touched != nil {
		m.entryVersions = snapshot.Touched
	}
	return m, nil
}
