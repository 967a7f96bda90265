package replacer

import (
	"time"

	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/elector"
)

// View is the state of the control hosts as the leader sees it.
type View struct {
	Now time.Time
	// Self is the ID of the leader.
	Self       string
	Membership elector.Membership
	// LastAckSentAt is when the newest message that each member has answered was
	// sent.
	LastAckSentAt map[string]time.Time
	// MatchIndex is the index of the last log entry known to be replicated to
	// each member.
	MatchIndex  map[string]uint64
	CommitIndex uint64
	// Hosts are the control hosts of the committed configuration, by ID.
	Hosts map[string]configurer.ControlHost
	// LastAnnouncement is when the leader last received an announcement of each
	// control host.
	LastAnnouncement map[string]time.Time
	// ArchivedPages is the number of pages of the archived record, and
	// ArchivedPagesByHost the number of them that each control host stores.
	ArchivedPages       uint64
	ArchivedPagesByHost map[string]uint64
}

// hasAnsweredWithin reports whether a member has answered the leader within the
// given time. The leader itself always counts as answering.
func (v View) hasAnsweredWithin(id string, within time.Duration) bool {
	return id == v.Self || v.Now.Sub(v.LastAckSentAt[id]) < within
}
