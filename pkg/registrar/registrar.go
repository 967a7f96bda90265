package registrar

import (
	"fmt"
	"sort"
	"time"

	"github.com/shallotstage/shallotstage/pkg/configurer"
)

// Registrar holds the upstreams that have announced themselves.
type Registrar struct {
	// SuspectAfter is the silence after which an upstream is suspected.
	SuspectAfter time.Duration
	// GoneAfter is the silence after which a suspected upstream is gone.
	GoneAfter time.Duration

	records map[string]*record
}

type record struct {
	announcement configurer.Announcement
	lifecycle    configurer.Lifecycle
	at           time.Time
}

// Restore takes over the upstreams of an agreed state. Their silence counts
// from now.
func (r *Registrar) Restore(upstreams map[string]configurer.Upstream, now time.Time) {
	r.records = map[string]*record{}
	for id, u := range upstreams {
		r.records[id] = &record{announcement: configurer.Announcement{Upstream: u}, lifecycle: u.Lifecycle, at: now}
	}
}

// Announce takes an announcement. It returns an error when the announcement
// contradicts what is known of the upstream.
func (r *Registrar) Announce(a configurer.Announcement, now time.Time) error {
	if err := a.Validate(); err != nil {
		return err
	}
	if r.records == nil {
		r.records = map[string]*record{}
	}
	rec := r.records[a.ID]
	if rec == nil {
		rec = &record{lifecycle: configurer.LifecycleAnnounced}
		r.records[a.ID] = rec
	} else if rec.announcement.Group != a.Group {
		return fmt.Errorf("registrar: upstream %s belongs to group %s, not %s", a.ID, rec.announcement.Group, a.Group)
	}
	state, err := Next(rec.lifecycle, TriggerAnnounced)
	if err != nil {
		return err
	}
	rec.lifecycle = state
	rec.announcement = a
	rec.at = now
	return nil
}

// Adopt takes over the lifecycle that an operator's plan gave an upstream.
func (r *Registrar) Adopt(u configurer.Upstream) {
	if rec := r.records[u.ID]; rec != nil {
		rec.lifecycle = u.Lifecycle
	}
}

// Accept makes an announced upstream serve. It is called when the upstream is
// an agreed member of its group.
func (r *Registrar) Accept(id string) error { return r.fire(id, TriggerAccepted) }

func (r *Registrar) fire(id string, t Trigger) error {
	rec := r.records[id]
	if rec == nil {
		return fmt.Errorf("registrar: upstream %s is not known", id)
	}
	state, err := Next(rec.lifecycle, t)
	if err != nil {
		return err
	}
	rec.lifecycle = state
	return nil
}

// Tick moves silent upstreams on.
func (r *Registrar) Tick(now time.Time) {
	for id, rec := range r.records {
		silence := now.Sub(rec.at)
		switch {
		case rec.lifecycle == configurer.LifecycleServing && silence >= r.SuspectAfter:
			_ = r.fire(id, TriggerSilent)
		case rec.lifecycle == configurer.LifecycleSuspected && silence >= r.GoneAfter:
			_ = r.fire(id, TriggerForgotten)
		}
	}
}

// Upstreams returns all upstreams with their lifecycle, in order of id.
func (r *Registrar) Upstreams() []configurer.Upstream {
	upstreams := make([]configurer.Upstream, 0, len(r.records))
	for _, rec := range r.records {
		u := rec.announcement.Upstream
		u.Lifecycle = rec.lifecycle
		upstreams = append(upstreams, u)
	}
	sort.Slice(upstreams, func(i, j int) bool { return upstreams[i].ID < upstreams[j].ID })
	return upstreams
}

// Announced returns the last announcements of a group's upstreams.
func (r *Registrar) Announced(group string) map[string]configurer.Announcement {
	announced := map[string]configurer.Announcement{}
	for id, rec := range r.records {
		if rec.announcement.Group == group && rec.lifecycle != configurer.LifecycleGone && rec.announcement.Role != "" {
			announced[id] = rec.announcement
		}
	}
	return announced
}
