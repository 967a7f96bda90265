package planner

import "github.com/shallotstage/shallotstage/pkg/configurer"

// draftControlHost drafts the replacement, return or removal of a control host.
// The plan doesn't change the voters: the fleet does so itself, one voter at a
// time.
func (m *StateMachine) draftControlHost(i Intent, p *Plan) error {
	h, ok := m.State.ControlHosts[i.Target]
	if !ok {
		return conflict(i.ID, "control host %s is not known", i.Target)
	}
	switch i.Kind {
	case IntentReplaceControlHost:
		return m.draftReplace(i, h, p)
	case IntentReturnControlHost:
		if !h.Leaving {
			return conflict(i.ID, "control host %s is not leaving", h.ID)
		}
		h.Leaving, h.Successor = false, ""
		p.addEffect("control host %s may vote again; it stands by as a spare unless it still votes", h.ID)
		return p.addChange(configurer.KindControlHost, h.ID, h)
	}
	if !h.Leaving {
		return conflict(i.ID, "control host %s must be replaced before it is forgotten", h.ID)
	}
	p.addEffect("control host %s is forgotten; if its process still runs, it comes back as a spare", h.ID)
	p.Changes = append(p.Changes, configurer.Remove(configurer.KindControlHost, h.ID))
	return nil
}

func (m *StateMachine) draftReplace(i Intent, h configurer.ControlHost, p *Plan) error {
	if h.Leaving {
		return conflict(i.ID, "control host %s is leaving already", h.ID)
	}
	if i.Successor != "" {
		s, ok := m.State.ControlHosts[i.Successor]
		if !ok || s.Leaving || s.ID == h.ID {
			return conflict(i.ID, "successor %s is not a spare control host", i.Successor)
		}
	}
	h.Leaving, h.Successor = true, i.Successor
	p.addEffect("control host %s gives up its vote once a spare has caught up", h.ID)
	if i.Successor != "" {
		p.addEffect("spare %s goes first", i.Successor)
	}
	p.addRisk("nothing happens while no spare is live")
	p.addRisk("between the removal of %s and the vote of the spare the agreement stands one loss less", h.ID)
	return p.addChange(configurer.KindControlHost, h.ID, h)
}
