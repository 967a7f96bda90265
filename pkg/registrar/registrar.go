package registrar

import (
	"fmt"
	"sort"
	"time"

	"github.com/shallotstage/shallotstage/pkg/configurer"
)

// Registrar holds the upstreams that have announced themselves.
type Registrar struct {
	// SuspectAfter is the time without announcements after which an upstream is
	// suspected.
	SuspectAfter time.Duration
	// GoneAfter is the time without announcements after which a suspected upstream
	// is gone.
	GoneAfter time.Duration

	records map[string]*record
}

type record struct {
	announcement configurer.Announcement
	lifecycle    configurer.Lifecycle
	lastSeen     time.Time
}

// Restore replaces the upstreams by those of the replicated state. Their timeouts
// start at now.
func (r *Registrar) Restore(upstreams map[string]configurer.Upstream, now time.Time) {
	r.records = map[string]*record{}
	for id, u := range upstreams {
		r.records[id] = &record{announcement: configurer.Announcement{Upstream: u}, lifecycle: u.Lifecycle, lastSeen: now}
	}
}

// Announce records an announcement. It returns an error if the announcement is
// invalid or contradicts the recorded state.
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
	state, err := NextState(rec.lifecycle, TriggerAnnounced)
	if err != nil {
		return err
	}
	rec.lifecycle = state
	rec.announcement = a
	rec.lastSeen = now
	return nil
}

// SetLifecycle sets the lifecycle state that an operator's plan assigned to an
// upstream.
func (r *Registrar) SetLifecycle(u configurer.Upstream) {
	if rec := r.records[u.ID]; rec != nil {
		rec.lifecycle = u.Lifecycle
	}
}

// Accept moves an announced upstream to the serving state. It must not be
// called before the replicated state has the upstream as a member of its group.
func (r *Registrar) Accept(id string) error { return r.fire(id, TriggerAccepted) }

func (r *Registrar) fire(id string, t Trigger) error {
	rec := r.records[id]
	if rec == nil {
		return fmt.Errorf("registrar: unknown upstream %s", id)
	}
	state, err := NextState(rec.lifecycle, t)
	if err != nil {
		return err
	}
	rec.lifecycle = state
	return nil
}

// ExpireSilent applies the timeouts to upstreams that have stopped announcing
// themselves.
func (r *Registrar) ExpireSilent(now time.Time) {
	for id, rec := range r.records {
		sinceAnnouncement := now.Sub(rec.lastSeen)
		switch {
		case rec.lifecycle == configurer.LifecycleServing && sinceAnnouncement >= r.SuspectAfter:
			_ = r.fire(id, TriggerTimedOut)
		case rec.lifecycle == configurer.LifecycleSuspected && sinceAnnouncement >= r.GoneAfter:
			_ = r.fire(id, TriggerRemoved)
		}
	}
}

// Upstreams returns all upstreams with their lifecycle state, sorted by ID.
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

// Announcements returns the last announcements of a group's upstreams, by ID.
// It omits upstreams that are gone or have not announced a role.
func (r *Registrar) Announcements(group string) map[string]configurer.Announcement {
	announced := map[string]configurer.Announcement{}
	for id, rec := range r.records {
		if rec.announcement.Group == group && rec.lifecycle != configurer.LifecycleGone && rec.announcement.Role != "" {
			announced[id] = rec.announcement
		}
	}
	return announced
}
