package planner

import (
	"fmt"

	"github.com/shallotstage/shallotstage/pkg/configurer"
)

// draft creates the plan for an intent on the current configuration.
func (m *StateMachine) draft(i Intent) (*Plan, error) {
	if err := i.Validate(); err != nil {
		return nil, err
	}
	p := &Plan{Intent: i, Status: StatusOpen}
	var err error
	switch i.Kind {
	case IntentAdmitOrganisation:
		err = m.draftAdmit(i, p)
	case IntentWithdrawOrganisation:
		err = m.draftWithdrawOrganisation(i, p)
	case IntentChangeRate:
		err = m.draftRate(i, p)
	case IntentGrantKey:
		err = m.draftGrantKey(i, p)
	case IntentWithdrawKey:
		err = m.draftWithdrawKey(i, p)
	case IntentPutRoute:
		err = m.draftRoute(i, p)
	case IntentRemoveRoute:
		err = m.draftRemoveRoute(i, p)
	case IntentDrainUpstream, IntentReturnUpstream:
		err = m.draftUpstream(i, p)
	case IntentPutObjective:
		err = m.draftObjective(i, p)
	case IntentRemoveObjective:
		err = m.draftRemoveObjective(i, p)
	case IntentReplaceControlHost, IntentReturnControlHost, IntentForgetControlHost:
		err = m.draftControlHost(i, p)
	default:
		err = fmt.Errorf("planner: unknown kind of intent %q", i.Kind)
	}
	if err != nil {
		return nil, err
	}
	p.BaseVersion = m.baseVersion(p.Changes)
	return p, nil
}

// addChange appends a change that stores an entry.
func (p *Plan) addChange(kind configurer.Kind, id string, entry any) error {
	c, err := configurer.Put(kind, id, entry)
	if err != nil {
		return err
	}
	p.Changes = append(p.Changes, c)
	return nil
}

func (p *Plan) addEffect(format string, args ...any) {
	p.Effects = append(p.Effects, fmt.Sprintf(format, args...))
}

func (p *Plan) addRisk(format string, args ...any) {
	p.Risks = append(p.Risks, fmt.Sprintf(format, args...))
}

func (m *StateMachine) draftAdmit(i Intent, p *Plan) error {
	if _, ok := m.State.Organisations[i.Target]; ok {
		return conflict(i.ID, "organisation %s is already admitted", i.Target)
	}
	o := configurer.Organisation{ID: i.Target, Rate: i.Rate, Burst: i.Burst}
	if err := o.Validate(); err != nil {
		return err
	}
	p.addEffect("organisation %s is admitted with %g statements/s and a burst of %g", o.ID, o.Rate, o.Burst)
	p.addRisk("it has no key until one is granted")
	return p.addChange(configurer.KindOrganisation, o.ID, o)
}

func (m *StateMachine) draftWithdrawOrganisation(i Intent, p *Plan) error {
	if _, ok := m.State.Organisations[i.Target]; !ok {
		return conflict(i.ID, "organisation %s is not admitted", i.Target)
	}
	p.addEffect("organisation %s is withdrawn; its open connections end", i.Target)
	p.Changes = append(p.Changes, configurer.Remove(configurer.KindOrganisation, i.Target))
	for id, k := range m.State.Keys {
		if k.Organisation == i.Target {
			p.addRisk("key %s stops working", id)
		}
	}
	return nil
}

func (m *StateMachine) draftRate(i Intent, p *Plan) error {
	existing, ok := m.State.Organisations[i.Target]
	if !ok {
		return conflict(i.ID, "organisation %s is not admitted", i.Target)
	}
	o := configurer.Organisation{ID: i.Target, Rate: i.Rate, Burst: i.Burst}
	if err := o.Validate(); err != nil {
		return err
	}
	p.addEffect("organisation %s: rate %g to %g statements/s, burst %g to %g", o.ID, existing.Rate, o.Rate, existing.Burst, o.Burst)
	if o.Rate < existing.Rate {
		p.addRisk("requests above the lower rate are refused")
	}
	return p.addChange(configurer.KindOrganisation, o.ID, o)
}

func (m *StateMachine) draftGrantKey(i Intent, p *Plan) error {
	if _, ok := m.State.Organisations[i.Organisation]; !ok {
		return conflict(i.ID, "organisation %s is not admitted", i.Organisation)
	}
	if _, ok := m.State.Keys[i.Target]; ok {
		return conflict(i.ID, "key %s exists; key ids are never used again", i.Target)
	}
	k := configurer.Key{ID: i.Target, Organisation: i.Organisation, Verifier: i.Verifier}
	if err := k.Validate(); err != nil {
		return err
	}
	p.addEffect("key %s works for organisation %s", k.ID, k.Organisation)
	return p.addChange(configurer.KindKey, k.ID, k)
}

func (m *StateMachine) draftWithdrawKey(i Intent, p *Plan) error {
	k, ok := m.State.Keys[i.Target]
	if !ok || k.Withdrawn {
		return conflict(i.ID, "key %s does not exist or is withdrawn", i.Target)
	}
	k.Withdrawn = true
	p.addEffect("key %s of organisation %s stops working, on open connections too", k.ID, k.Organisation)
	return p.addChange(configurer.KindKey, k.ID, k)
}

func (m *StateMachine) draftRoute(i Intent, p *Plan) error {
	r := configurer.Route{ID: i.Target, Group: i.Group, Open: i.Open, Organisations: i.Organisations}
	if err := r.Validate(); err != nil {
		return err
	}
	if existing, ok := m.State.Routes[r.ID]; ok {
		p.addEffect("route %s: group %s to %s, open %t to %t, organisations %v to %v", r.ID, existing.Group, r.Group, existing.Open, r.Open, existing.Organisations, r.Organisations)
	} else {
		p.addEffect("route %s leads to group %s, open %t, organisations %v", r.ID, r.Group, r.Open, r.Organisations)
	}
	if r.Open {
		p.addRisk("anyone who reaches an entry host may use the route without a key")
	}
	if _, ok := m.State.Groups[r.Group]; !ok {
		p.addRisk("no upstream of group %s has announced itself", r.Group)
	}
	return p.addChange(configurer.KindRoute, r.ID, r)
}

func (m *StateMachine) draftRemoveRoute(i Intent, p *Plan) error {
	if _, ok := m.State.Routes[i.Target]; !ok {
		return conflict(i.ID, "route %s does not exist", i.Target)
	}
	p.addEffect("route %s is removed; its open connections end", i.Target)
	p.Changes = append(p.Changes, configurer.Remove(configurer.KindRoute, i.Target))
	return nil
}

func (m *StateMachine) draftUpstream(i Intent, p *Plan) error {
	u, ok := m.State.Upstreams[i.Target]
	if !ok {
		return conflict(i.ID, "upstream %s is not known", i.Target)
	}
	if i.Kind == IntentReturnUpstream {
		if u.Lifecycle != configurer.LifecycleDraining {
			return conflict(i.ID, "upstream %s is %s, not draining", u.ID, u.Lifecycle)
		}
		u.Lifecycle = configurer.LifecycleServing
		p.addEffect("upstream %s takes new work again", u.ID)
		return p.addChange(configurer.KindUpstream, u.ID, u)
	}
	if !u.AcceptsRequests() {
		return conflict(i.ID, "upstream %s is %s", u.ID, u.Lifecycle)
	}
	u.Lifecycle = configurer.LifecycleDraining
	p.addEffect("upstream %s takes no new work; work in hand ends", u.ID)
	if g := m.State.Groups[u.Group]; g.Primary == u.ID {
		p.addRisk("%s is the primary of group %s: writes wait until it is replaced", u.ID, g.ID)
	}
	return p.addChange(configurer.KindUpstream, u.ID, u)
}

func (m *StateMachine) draftObjective(i Intent, p *Plan) error {
	organisation, route, err := configurer.SplitObjectiveID(i.Target)
	if err != nil {
		return err
	}
	o := configurer.Objective{Organisation: organisation, Route: route, Availability: i.Availability, LatencyMS: i.LatencyMS}
	if err := o.Validate(); err != nil {
		return err
	}
	existing := m.State.Objective(organisation, route)
	p.addEffect("objective %s: availability %g to %g, latency bound %d to %d ms", i.Target, existing.Availability, o.Availability, existing.LatencyMS, o.LatencyMS)
	if _, ok := m.State.Organisations[organisation]; !ok && organisation != configurer.Wildcard {
		p.addRisk("organisation %s is not admitted", organisation)
	}
	if _, ok := m.State.Routes[route]; !ok && route != configurer.Wildcard {
		p.addRisk("route %s does not exist", route)
	}
	return p.addChange(configurer.KindObjective, i.Target, o)
}

func (m *StateMachine) draftRemoveObjective(i Intent, p *Plan) error {
	if _, ok := m.State.Objectives[i.Target]; !ok {
		return conflict(i.ID, "objective %s does not exist", i.Target)
	}
	p.addEffect("objective %s is removed; a wider one or the default of availability %g applies", i.Target, configurer.DefaultObjective.Availability)
	p.Changes = append(p.Changes, configurer.Remove(configurer.KindObjective, i.Target))
	return nil
}
