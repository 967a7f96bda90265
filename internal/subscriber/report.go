package subscriber

import (
	"time"

	"github.com/shallotstage/shallotstage/internal/messenger"
)

// sentSight is the part of a sight that control decides on.
type sentSight struct {
	reachable bool
	term      uint64
}

// report builds the next report. The lease that answers it counts from now.
func (s *Subscriber) report(now time.Time) *messenger.HostReport {
	s.sequence++
	s.holder.Sent(s.sequence, now)
	r := &messenger.HostReport{
		HostId: s.Host.ID, DataCentre: s.Host.DataCentre, Region: s.Host.Region, PeerAddress: s.Host.PeerAddress,
		Incarnation: s.Incarnation, Sequence: s.sequence, ConfigVersion: s.State().Version,
		Announcements: s.takeAnnouncements(),
	}
	if s.Sights != nil {
		r.Sights = s.newSights()
	}
	for _, t := range s.Limiter.Reports() {
		if s.sentTokens[t.Organisation] == t {
			continue
		}
		s.sentTokens[t.Organisation] = t
		r.Tokens = append(r.Tokens, &messenger.TokenReport{
			Organisation: t.Organisation, SpentTotal: t.SpentTotal, ReturnedTotal: t.ReturnedTotal,
			ReceivedTotal: t.ReceivedTotal, Wanted: t.Wanted,
		})
	}
	return r
}

// newSights returns the sights that differ from what was sent.
func (s *Subscriber) newSights() []*messenger.Sight {
	var sights []*messenger.Sight
	for _, v := range s.Sights() {
		now := sentSight{v.GetReachable(), v.GetTerm()}
		if old, ok := s.sentSights[v.GetUpstream()]; !ok || old != now {
			s.sentSights[v.GetUpstream()] = now
			sights = append(sights, v)
		}
	}
	return sights
}
