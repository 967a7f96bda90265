package subscriber

import (
	"time"

	"github.com/shallotstage/shallotstage/internal/messenger"
)

// sentReport is the part of a reachability report whose change must be sent.
type sentReport struct {
	reachable bool
	term      uint64
}

// report builds the next report. A lease granted in response starts at now.
func (s *Subscriber) report(now time.Time) *messenger.HostReport {
	s.sequence++
	s.holder.RecordReport(s.sequence, now)
	r := &messenger.HostReport{
		HostId: s.Host.ID, DataCentre: s.Host.DataCentre, Region: s.Host.Region, PeerAddress: s.Host.PeerAddress,
		Incarnation: s.Incarnation, Sequence: s.sequence, ConfigVersion: s.State().Version,
		Announcements: s.drainAnnouncements(),
	}
	if s.ReachabilityReports != nil {
		r.Sights = s.changedReports()
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

// changedReports returns the reachability reports that changed since they were
// last sent, and marks them as sent.
func (s *Subscriber) changedReports() []*messenger.Sight {
	var reports []*messenger.Sight
	for _, v := range s.ReachabilityReports() {
		now := sentReport{v.GetReachable(), v.GetTerm()}
		if old, ok := s.sentReports[v.GetUpstream()]; !ok || old != now {
			s.sentReports[v.GetUpstream()] = now
			reports = append(reports, v)
		}
	}
	return reports
}
