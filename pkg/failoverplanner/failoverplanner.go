// Package failoverplanner decides when a service fails over and which upstream
// becomes its primary.
//
// There is no explicit report of a failed primary. It is detected from the
// connection attempts of entry hosts and from missing announcements. A primary
// that announces that it is draining, or whose data centre is evacuated, is replaced
// while it still serves.
//
// # Usage
//
//	decision := failoverplanner.Decide(evidence)
//	if decision.Candidate != "" { ... }
//
// Decide is a pure function of the evidence.
package failoverplanner

import (
	"fmt"
	"time"

	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

const (
	// noPrimaryDelay is how long a leader waits for announcements before it
	// concludes that a service has no primary: two announcement intervals.
	noPrimaryDelay = 2500 * time.Millisecond
	// announcementTimeout is the time without announcements after which a report
	// by a single host is enough to fail an upstream.
	announcementTimeout = 3 * time.Second
	// acceptedPromotionTimeout is how long a promotion that the platform
	// accepted may take to come into effect. A platform worker may execute it
	// late.
	acceptedPromotionTimeout = 4 * time.Second
	// unansweredPromotionTimeout is the age at which a promotion without an
	// answer from the platform is abandoned.
	unansweredPromotionTimeout = 14 * time.Second
	// maxHandOverLag is the lag of a candidate above which a planned change of
	// primary waits, as callers' writes are held until the candidate has caught up.
	// maxHandOverDelay bounds that wait, and the one for hosts that are silent: the
	// primary stops some seconds after it announced its end.
	maxHandOverLag   = 250 * time.Millisecond
	maxHandOverDelay = 2500 * time.Millisecond
	// failedCandidateTimeout is the age at which a promotion is abandoned if its
	// candidate has failed.
	failedCandidateTimeout = 700 * time.Millisecond
)

// UpstreamHealth is the observed state of one upstream.
type UpstreamHealth struct {
	Upstream keeper.Upstream
	// ReachableHosts is the number of hosts that it answered recently,
	// UnreachableHosts the number of hosts that cannot connect to it.
	ReachableHosts, UnreachableHosts int
	// SinceAnnouncement is the time since its last announcement.
	SinceAnnouncement time.Duration
	// Position is the highest log position that it is known to have reached. It has
	// received exactly the log up to there if Response is ResponseStatus, else perhaps
	// more.
	Position tracker.Position
	// Response is its answer to the query for this decision.
	Response Response
	// Superseded is true for a replaced primary that has not announced itself as a
	// replica since. It might accept work that is meant for the next primary.
	Superseded bool
	// ExcludedRoutes is the number of the service's routes that do not permit its
	// region.
	ExcludedRoutes int
	// Lag is how far it is behind its primary; zero if that is unknown.
	Lag time.Duration
}

// Response is an upstream's answer to the query for its status.
type Response string

// The answers of an upstream.
const (
	// ResponseNone means that the upstream was not queried or did not answer.
	ResponseNone Response = ""
	// ResponseBusy means that it runs and did not tell how much it has received.
	ResponseBusy Response = "busy"
	// ResponseStatus means that it told how much it has received.
	ResponseStatus Response = "status"
)

// hasFailed reports whether most of the reporting hosts cannot connect to the
// upstream. A report by a single host counts only if announcements are missing
// too.
func (s UpstreamHealth) hasFailed() bool {
	if s.UnreachableHosts > s.ReachableHosts && s.UnreachableHosts >= 2 {
		return true
	}
	return s.UnreachableHosts > s.ReachableHosts && s.SinceAnnouncement > announcementTimeout
}

// Promotion is a promotion in progress.
type Promotion struct {
	Candidate string
	Age       time.Duration
	// Requested is true once the platform has been asked. Before that, hosts may
	// still act at the former primary.
	Requested bool
	// SinceAccepted is the time since the platform accepted the promotion; zero
	// means that it has not.
	SinceAccepted time.Duration
	// Rejected is true when the platform rejected the promotion, or when it was given
	// up before the platform was asked.
	Rejected bool
}

// Evidence is the state of one service as the control leader observes it.
type Evidence struct {
	Service string
	// Primary is the ID of the current primary, or empty.
	Primary string
	// SyncReplicas is the number of replicas that have received a commit before it is
	// acknowledged. With zero, a promotion may lose acknowledged commits.
	SyncReplicas int
	// Upstreams are keyed by ID.
	Upstreams map[string]UpstreamHealth
	// Queried is true once the upstreams have been queried for this decision.
	Queried bool
	// Promotion is the latest promotion, or nil when it is completed or
	// abandoned.
	Promotion *Promotion
	// Unfinished is the candidate of the latest agreed promotion if that has not come
	// into effect and hosts keep off the former primary until one does.
	Unfinished string
	// DrainingFor is how long the primary has been known to be draining.
	DrainingFor time.Duration
	// Evacuated holds the evacuated data centres. No upstream there becomes the primary.
	Evacuated map[string]bool
	// SilentHolders is the number of hosts that have not reported lately and may act
	// at the primary until their leases end. Their evidence is missing.
	SilentHolders int
	// LeaderFor is how long this control host has been the leader.
	LeaderFor time.Duration
	// WithoutPrimaryFor is how long the service has been without a primary;
	// zero when it has one.
	WithoutPrimaryFor time.Duration
}

// Decision is the promotion to request; none if Candidate is empty.
type Decision struct {
	Candidate string
	Reason    string
	// Planned is true if the present primary still serves and hands over.
	Planned bool
	// Undecided is why the service needs another primary, and why none becomes it yet,
	// if evacuations have a part in that; empty otherwise.
	Undecided string
}

// Decide returns whether to replace a service's primary, and by which upstream.
func Decide(e Evidence) Decision {
	if e.Promotion != nil && e.isPending(*e.Promotion) {
		return Decision{}
	}
	reason := e.failoverReason()
	if reason == "" {
		return Decision{}
	}
	candidate := e.selectCandidate()
	if candidate == "" {
		return Decision{Undecided: e.evacuationReason(reason)}
	}
	planned := e.isPlanned()
	lags := e.Upstreams[candidate].Lag > maxHandOverLag
	if planned && lags && e.KeepsPrimary() {
		// Commits that the candidate lacks would be lost, and the primary does not stop.
		return Decision{Undecided: fmt.Sprintf("%s; candidate %s is %s behind", reason, candidate, e.Upstreams[candidate].Lag)}
	}
	if planned && (lags || e.SilentHolders > 0) && e.DrainingFor < maxHandOverDelay {
		return Decision{}
	}
	return Decision{Candidate: candidate, Reason: reason, Planned: planned}
}

// isPlanned reports whether the present primary can hand over. A primary that goes on
// serving hands over again after a promotion that was given up.
func (e Evidence) isPlanned() bool {
	primary, ok := e.Upstreams[e.Primary]
	return ok && !primary.hasFailed() && (e.Unfinished == "" || e.KeepsPrimary())
}

// KeepsPrimary reports whether the primary goes on if it is not replaced: it is to be
// replaced only because its data centre is evacuated.
func (e Evidence) KeepsPrimary() bool {
	primary, ok := e.Upstreams[e.Primary]
	return ok && e.isEvacuated(primary) && !primary.hasFailed() && primary.Upstream.Lifecycle != keeper.LifecycleDraining
}

func (e Evidence) isEvacuated(s UpstreamHealth) bool { return e.Evacuated[s.Upstream.DataCentre] }

// evacuationReason returns why a service without a candidate needs another primary if
// evacuations have a part in it, or an empty string.
func (e Evidence) evacuationReason(reason string) string {
	evacuated := 0
	for _, s := range e.Upstreams {
		if e.isEvacuated(s) {
			evacuated++
		}
	}
	if evacuated == 0 {
		return ""
	}
	return fmt.Sprintf("%s; no candidate outside the evacuated data centres, which hold %d of %d upstreams", reason, evacuated, len(e.Upstreams))
}

// isPending reports whether a promotion may still come into effect.
func (e Evidence) isPending(o Promotion) bool {
	if o.Rejected {
		return false
	}
	candidate, ok := e.Upstreams[o.Candidate]
	if !ok || candidate.Upstream.Lifecycle != keeper.LifecycleReady {
		return false
	}
	if e.isEvacuated(candidate) && !o.Requested {
		return false
	}
	if candidate.hasFailed() && o.Age > failedCandidateTimeout {
		return false
	}
	if o.SinceAccepted > 0 {
		return o.SinceAccepted < acceptedPromotionTimeout
	}
	return !o.Requested || o.Age < unansweredPromotionTimeout
}

// failoverReason returns why the service needs another primary, or an empty
// string.
func (e Evidence) failoverReason() string {
	primary, ok := e.Upstreams[e.Primary]
	switch {
	case e.Unfinished != "":
		return "the promotion of " + e.Unfinished + " has not come into effect"
	case e.Primary == "" || !ok:
		if e.LeaderFor < noPrimaryDelay || e.WithoutPrimaryFor < noPrimaryDelay {
			return ""
		}
		return fmt.Sprintf("no primary for %s", e.WithoutPrimaryFor.Round(time.Millisecond))
	case primary.Upstream.Lifecycle == keeper.LifecycleDraining:
		return "primary " + e.Primary + " announced its end"
	case primary.hasFailed() && e.SilentHolders > 0:
		// The platform would not be asked before these leases have ended. Until then
		// the hosts may report that they reach the primary.
		return ""
	case primary.hasFailed():
		return fmt.Sprintf("primary %s: %d hosts cannot connect, %d were answered, last announced %s ago",
			e.Primary, primary.UnreachableHosts, primary.ReachableHosts, primary.SinceAnnouncement.Round(time.Millisecond))
	case e.isEvacuated(primary):
		return "data centre " + primary.Upstream.DataCentre + " of primary " + e.Primary + " is evacuated"
	}
	return ""
}

// selectCandidate returns the healthy upstream in the region that most routes permit and
// with the highest log position there, or
// an empty string if there is none or it may lack acknowledged commits that must not be
// lost. It prefers the candidate of an unfinished promotion, as the
// platform may still carry that out.
func (e Evidence) selectCandidate() string {
	if e.isEligible(e.Unfinished) && (e.Promotion == nil || !e.Promotion.Rejected) {
		return e.Unfinished
	}
	best := ""
	for id, s := range e.Upstreams {
		if id == e.Primary || !e.isEligible(id) || (e.Queried && !e.HasAllCommits(id)) {
			continue
		}
		if best == "" || e.isBetterCandidate(s, e.Upstreams[best]) {
			best = id
		}
	}
	if best == "" && e.Unfinished != "" && e.isEligible(e.Primary) {
		return e.Primary
	}
	return best
}

// isEligible reports whether an upstream can become the primary.
func (e Evidence) isEligible(id string) bool {
	s, ok := e.Upstreams[id]
	return ok && !s.Superseded && !e.isEvacuated(s) && s.Upstream.Lifecycle == keeper.LifecycleReady && !s.hasFailed() && s.SinceAnnouncement <= announcementTimeout
}

// HasAllCommits reports whether an upstream certainly has each commit that was
// acknowledged. At least SyncReplicas replicas have received such a commit, so it is
// missing here only if that many others may have received more than this one. One whose
// position is unknown may have. An upstream that did not answer itself may have restarted
// without its log. With no SyncReplicas nothing is certain, and it returns true.
func (e Evidence) HasAllCommits(id string) bool {
	if e.SyncReplicas == 0 {
		return true
	}
	if e.Upstreams[id].Response == ResponseNone {
		return false
	}
	mayHaveMore := 0
	for other, s := range e.Upstreams {
		if other == id || other == e.Primary {
			continue
		}
		if s.Response != ResponseStatus || e.Upstreams[id].Position.Less(s.Position) {
			mayHaveMore++
		}
	}
	return mayHaveMore < e.SyncReplicas
}

// isBetterCandidate prefers upstreams that answered, as the others may have stopped, of
// these the ones whose region the most routes of the service permit, and of these the one
// known to have received the most.
func (e Evidence) isBetterCandidate(a, b UpstreamHealth) bool {
	if answered := a.Response != ResponseNone; answered != (b.Response != ResponseNone) {
		return answered
	}
	if a.ExcludedRoutes != b.ExcludedRoutes {
		return a.ExcludedRoutes < b.ExcludedRoutes
	}
	if a.Position != b.Position {
		return b.Position.Less(a.Position)
	}
	return a.Upstream.ID < b.Upstream.ID
}
