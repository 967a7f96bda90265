// Package admitter spends organisations' tokens in one place of each data
// centre.
//
// A rate that is split over hundreds of hosts leaves each with less than one
// operation. So a few hosts of each data centre, the treasurers, spend an
// organisation's part of it, and the others ask one of them for each operation.
// One that has no token left, or does not answer, is passed over for a while and
// the next one is asked, at last one of another data centre: parts follow demand
// with a delay, and not at all across a partition. A host that reaches none
// spends its own base.
//
// # Usage
//
//	a := &admitter.Admitter{Local: shares.Admit, Forwarder: f, Treasurers: treasurers, ...}
//	admission := a.Admit(organisation, maxWait)
//	serve := a.Accept(header)   // on the treasurer
package admitter

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/shallotstage/shallotstage/internal/avoider"
	"github.com/shallotstage/shallotstage/internal/forwarder"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/spender"
)

const (
	// askTimeout bounds a question: a round trip between regions and settleTime.
	askTimeout = 250 * time.Millisecond
	// ownRate is the operations a second on each host from which a rate is split
	// over the hosts. Sessions are not spread evenly, and with less the chance
	// arrivals of some seconds are large beside a host's part.
	ownRate = 8
	// settleTime bounds the wait for a part that is on its way: a round trip
	// between regions, and one more for the host that gives it up.
	settleTime = 150 * time.Millisecond
	// maxAsked is the number of treasurers that one operation asks.
	maxAsked = 4
	// minDry and maxDry bound the time for which a treasurer's refusal is
	// believed: others may give it a part of theirs at any moment.
	minDry = 10 * time.Millisecond
	maxDry = 150 * time.Millisecond
)

// Treasurer is the host that spends an organisation's tokens.
type Treasurer struct {
	Host    string
	Address string
}

// FirstAvoided and MostAvoided are the times for which a treasurer that does not
// answer is passed over: a few questions, and the time of a short partition.
const (
	FirstAvoided = 300 * time.Millisecond
	MostAvoided  = 6 * time.Second
)

// Admitter admits operations. All fields are set before use.
type Admitter struct {
	// Local spends this host's tokens.
	Local func(o keeper.Organisation, maxWait time.Duration) spender.Admission
	// Settling returns a channel that is closed by the next news of this host's
	// tokens when they are on their way, or nil; nil means never.
	Settling func(organisation string) <-chan struct{}
	// Organisation returns an organisation of the configuration in force.
	Organisation func(name string) (keeper.Organisation, bool)
	Forwarder    *forwarder.Forwarder
	// Hosts returns the number of entry hosts.
	Hosts func() int
	// Treasurers returns the hosts that may spend an organisation's tokens, the
	// best first. One without an address is this host.
	Treasurers func(organisation string) []Treasurer
	Log        *logger.Logger

	// Avoider holds the treasurers that did not answer.
	Avoider avoider.Avoider

	mu sync.Mutex
	// dry holds until when a treasurer is not asked for an organisation.
	dry map[dryKey]time.Time
}

// Admit spends one operation of an organisation.
func (a *Admitter) Admit(o keeper.Organisation, maxWait time.Duration) spender.Admission {
	if !a.hasTreasurers(o) {
		return a.spend(o, maxWait)
	}
	begin := time.Now()
	asked, spentLocally := 0, false
	var refused spender.Admission
	for _, t := range a.Treasurers(o.Name) {
		if asked >= maxAsked || time.Since(begin) >= askTimeout {
			// What cannot be decided soon is refused at once.
			break
		}
		if a.isPassedOver(t.Host, o.Name) {
			continue
		}
		admission, known := a.askOne(t, o, max(0, maxWait-time.Since(begin)))
		if !known {
			continue
		}
		asked++
		spentLocally = spentLocally || t.Address == ""
		if admission.Admitted {
			return admission
		}
		a.markDry(t.Host, o.Name, admission.RetryAfter)
		if asked == 1 || admission.RetryAfter < refused.RetryAfter {
			refused = admission
		}
	}
	if spentLocally {
		return refused
	}
	if asked == 0 {
		return a.spend(o, maxWait)
	}
	if admission := a.Local(o, maxWait); admission.Admitted {
		return admission
	}
	return refused
}

// hasTreasurers reports whether an organisation's rate is too small to be split
// over all hosts.
func (a *Admitter) hasTreasurers(o keeper.Organisation) bool {
	return o.Rate < ownRate*float64(a.Hosts())
}

// Yields reports whether other hosts spend an organisation's tokens.
func (a *Admitter) Yields(organisation string) bool {
	o, ok := a.Organisation(organisation)
	return ok && a.hasTreasurers(o)
}

// askOne asks one treasurer, which may be this host. known is false when it did
// not decide.
func (a *Admitter) askOne(t Treasurer, o keeper.Organisation, maxWait time.Duration) (admission spender.Admission, known bool) {
	if t.Address == "" {
		return a.spend(o, maxWait), true
	}
	admission, known, err := a.ask(t, o.Name, maxWait)
	if err != nil {
		a.markDown(t, err)
		return admission, false
	}
	a.Avoider.Answered(t.Host)
	return admission, known
}

// spend spends a token of this host. It waits for a moment for tokens that are on
// their way.
func (a *Admitter) spend(o keeper.Organisation, maxWait time.Duration) spender.Admission {
	admission := a.Local(o, maxWait)
	if admission.Admitted || a.Settling == nil {
		return admission
	}
	settling := a.Settling(o.Name)
	if settling == nil {
		return admission
	}
	timer := time.NewTimer(min(maxWait, settleTime))
	defer timer.Stop()
	select {
	case <-settling:
		return a.Local(o, maxWait)
	case <-timer.C:
		return admission
	}
}

// dryKey names an organisation's tokens on a treasurer.
type dryKey struct{ host, organisation string }

// isPassedOver reports whether a treasurer did not answer of late, or had no
// token for the organisation.
func (a *Admitter) isPassedOver(host, organisation string) bool {
	if a.Avoider.Avoids(host) {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.dry[dryKey{host, organisation}])
}

// markDry passes a treasurer over that has no token for an organisation.
func (a *Admitter) markDry(host, organisation string, retryAfter time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dry == nil {
		a.dry = map[dryKey]time.Time{}
	}
	a.dry[dryKey{host, organisation}] = time.Now().Add(min(max(retryAfter, minDry), maxDry))
}

func (a *Admitter) markDown(t Treasurer, err error) {
	if a.Avoider.Avoid(t.Host) {
		a.Log.Warn(logger.EventTreasurerLost, zap.String("treasurer", t.Host), zap.Error(err))
	}
}

// ask asks a treasurer. A token that it spent for an answer that was lost stays
// spent.
func (a *Admitter) ask(t Treasurer, organisation string, maxWait time.Duration) (spender.Admission, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	header, err := proto.Marshal(&messenger.AdmissionRequest{Organisation: organisation, MaxWaitMs: uint32(maxWait.Milliseconds())})
	if err != nil {
		return spender.Admission{}, false, err
	}
	stream, _, err := a.Forwarder.Offer(ctx, t.Address, append([]byte{Kind}, header...))
	if err != nil {
		return spender.Admission{}, false, err
	}
	defer func() { _ = stream.Close() }()
	if err := stream.SetReadDeadline(time.Now().Add(askTimeout)); err != nil {
		return spender.Admission{}, false, err
	}
	var answer messenger.AdmissionAnswer
	if err := protodelim.UnmarshalFrom(bufio.NewReader(stream), &answer); err != nil {
		return spender.Admission{}, false, err
	}
	return spender.Admission{
		Admitted: answer.GetAdmitted(), Wait: time.Duration(answer.GetWaitUs()) * time.Microsecond,
		RetryAfter: time.Duration(answer.GetRetryAfterMs()) * time.Millisecond, Share: answer.GetShare(), Level: answer.GetLevel(),
	}, answer.GetKnown(), nil
}

// Kind is the first byte of a header that Accept takes.
const Kind = 'A'

// Accept serves the question of another host.
func (a *Admitter) Accept(header []byte) func(ctx context.Context, stream net.Conn) {
	var request messenger.AdmissionRequest
	if err := proto.Unmarshal(header, &request); err != nil {
		return nil
	}
	return func(_ context.Context, stream net.Conn) {
		defer func() { _ = stream.Close() }()
		answer := &messenger.AdmissionAnswer{}
		if o, ok := a.Organisation(request.GetOrganisation()); ok {
			d := a.spend(o, time.Duration(request.GetMaxWaitMs())*time.Millisecond)
			answer = &messenger.AdmissionAnswer{
				Known: true, Admitted: d.Admitted, WaitUs: uint32(d.Wait.Microseconds()), RetryAfterMs: uint32(d.RetryAfter.Milliseconds()),
				Share: d.Share, Level: d.Level,
			}
		}
		if _, err := protodelim.MarshalTo(stream, answer); err != nil {
			a.Log.Info(logger.EventTreasurerLost, zap.String("asked_by", stream.RemoteAddr().String()), zap.Error(err))
		}
	}
}
