package configurer

import "maps"

func (s State) putOrganisation(c Change) (State, error) {
	var o Organisation
	if err := decode(c, &o); err != nil {
		return s, err
	}
	next := maps.Clone(s.Organisations)
	if next == nil {
		next = map[string]Organisation{}
	}
	if c.Body == nil {
		delete(next, c.ID)
	} else {
		next[c.ID] = o
	}
	s.Organisations = next
	return s, nil
}

func (s State) putKey(c Change) (State, error) {
	var k Key
	if err := decode(c, &k); err != nil {
		return s, err
	}
	next := maps.Clone(s.Keys)
	if next == nil {
		next = map[string]Key{}
	}
	if c.Body == nil {
		delete(next, c.ID)
	} else {
		next[c.ID] = k
	}
	s.Keys = next
	return s, nil
}

func (s State) putRoute(c Change) (State, error) {
	var r Route
	if err := decode(c, &r); err != nil {
		return s, err
	}
	next := maps.Clone(s.Routes)
	if next == nil {
		next = map[string]Route{}
	}
	if c.Body == nil {
		delete(next, c.ID)
	} else {
		next[c.ID] = r
	}
	s.Routes = next
	return s, nil
}

func (s State) putGroup(c Change) (State, error) {
	var g Group
	if err := decode(c, &g); err != nil {
		return s, err
	}
	next := maps.Clone(s.Groups)
	if next == nil {
		next = map[string]Group{}
	}
	if c.Body == nil {
		delete(next, c.ID)
	} else {
		next[c.ID] = g
	}
	s.Groups = next
	return s, nil
}

func (s State) putUpstream(c Change) (State, error) {
	var u Upstream
	if err := decode(c, &u); err != nil {
		return s, err
	}
	next := maps.Clone(s.Upstreams)
	if next == nil {
		next = map[string]Upstream{}
	}
	if c.Body == nil {
		delete(next, c.ID)
	} else {
		next[c.ID] = u
	}
	s.Upstreams = next
	return s, nil
}

func (s State) putHost(c Change) (State, error) {
	var h Host
	if err := decode(c, &h); err != nil {
		return s, err
	}
	next := maps.Clone(s.Hosts)
	if next == nil {
		next = map[string]Host{}
	}
	if c.Body == nil {
		delete(next, c.ID)
	} else {
		next[c.ID] = h
	}
	s.Hosts = next
	return s, nil
}
