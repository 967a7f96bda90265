// Package admitter admits operations against token buckets that a few hosts of
// each data centre keep for all others.
//
// A rate that is split over hundreds of hosts leaves each with less than one
// operation. So a few hosts of each data centre, the token hosts, hold the
// tokens of an organisation there, and the other hosts send one of them a
// request for each operation. A token host that has no token left, or does not
// answer, is skipped for a while and the next one is asked, finally one of
// another data centre, because shares follow demand with a delay, and not at
// all across a partition. A host that reaches no token host uses its own base
// share.
//
// # Usage
//
//	a := &admitter.Admitter{AdmitLocal: shares.Admit, Forwarder: f, TokenHosts: tokenHosts, ...}
//	admission := a.Admit(organisation, maxWait)
//	serve := a.Handler(header)   // on the token host
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

	"github.com/shallotstage/shallotstage/internal/backoffer"
	"github.com/shallotstage/shallotstage/internal/forwarder"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/spender"
)

const (
	// requestTimeout limits a request: a round trip between regions and
	// settleTimeout.
	requestTimeout = 250 * time.Millisecond
	// minRatePerHost is the rate per host, in operations a second, from which
	// an organisation's rate is split over all hosts. Sessions are not spread
	// evenly, and at lower rates the random arrivals of a few seconds are large
	// compared with a host's share.
	minRatePerHost = 8
	// settleTimeout limits the wait for a share that is about to be granted: a
	// round trip between regions, and another for the host that must give it up
	// first.
	settleTimeout = 150 * time.Millisecond
	// maxRequests is the maximum number of token hosts asked for one operation.
	maxRequests = 4
	// minExhaustedTime and maxExhaustedTime limit how long a token host is
	// skipped after a refusal: other hosts may give up a share in its favour at
	// any moment.
	minExhaustedTime = 10 * time.Millisecond
	maxExhaustedTime = 150 * time.Millisecond
)

// TokenHost is a host that holds an organisation's tokens.
type TokenHost struct {
	Host    string
	Address string
}

// InitialBackoff and MaxBackoff are the initial and the maximum time for which a
// token host that does not answer is skipped: a few requests, and the duration
// of a short partition.
const (
	InitialBackoff = 300 * time.Millisecond
	MaxBackoff     = 6 * time.Second
)

// Admitter admits operations. All fields must be set before use.
type Admitter struct {
	// AdmitLocal takes a token of this host.
	AdmitLocal func(o keeper.Organisation, maxWait time.Duration) spender.Admission
	// PendingGrant returns a channel that is closed by the next change of this
	// host's share, or nil if no change is expected. If the function is nil,
	// none ever is.
	PendingGrant func(organisation string) <-chan struct{}
	// LookUpOrganisation looks up an organisation in the current configuration.
	LookUpOrganisation func(name string) (keeper.Organisation, bool)
	Forwarder          *forwarder.Forwarder
	// HostCount returns the number of entry hosts.
	HostCount func() int
	// TokenHosts returns the hosts that may hold an organisation's tokens, in
	// order of preference. One without an address is this host.
	TokenHosts func(organisation string) []TokenHost
	Log        *logger.Logger

	// Backoffer tracks the token hosts that did not answer.
	Backoffer backoffer.Backoffer

	mu sync.Mutex
	// exhausted is the time until which a token host is not asked for an
	// organisation.
	exhausted map[exhaustedKey]time.Time
}

// Admit takes one token of an organisation.
func (a *Admitter) Admit(o keeper.Organisation, maxWait time.Duration) spender.Admission {
	if !a.hasTokenHosts(o) {
		return a.spend(o, maxWait)
	}
	start := time.Now()
	asked, spentLocally := 0, false
	var refused spender.Admission
	for _, t := range a.TokenHosts(o.Name) {
		if asked >= maxRequests || time.Since(start) >= requestTimeout {
			// An operation that cannot be decided soon is refused at once.
			break
		}
		if a.isSkipped(t.Host, o.Name) {
			continue
		}
		admission, known := a.askOne(t, o, max(0, maxWait-time.Since(start)))
		if !known {
			continue
		}
		asked++
		spentLocally = spentLocally || t.Address == ""
		if admission.Admitted {
			return admission
		}
		a.markExhausted(t.Host, o.Name, admission.RetryAfter)
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
	if admission := a.AdmitLocal(o, maxWait); admission.Admitted {
		return admission
	}
	return refused
}

// hasTokenHosts reports whether an organisation's rate is too low to be split
// over all hosts.
func (a *Admitter) hasTokenHosts(o keeper.Organisation) bool {
	return o.Rate < minRatePerHost*float64(a.HostCount())
}

// Delegates reports whether token hosts hold an organisation's tokens for all
// hosts.
func (a *Admitter) Delegates(organisation string) bool {
	o, ok := a.LookUpOrganisation(organisation)
	return ok && a.hasTokenHosts(o)
}

// askOne asks one token host, which may be this host. known is false if it gave
// no decision.
func (a *Admitter) askOne(t TokenHost, o keeper.Organisation, maxWait time.Duration) (admission spender.Admission, known bool) {
	if t.Address == "" {
		return a.spend(o, maxWait), true
	}
	admission, known, err := a.ask(t, o.Name, maxWait)
	if err != nil {
		a.markUnreachable(t, err)
		return admission, false
	}
	a.Backoffer.RecordSuccess(t.Host)
	return admission, known
}

// spend takes a token of this host. It waits briefly if a new share is
// expected.
func (a *Admitter) spend(o keeper.Organisation, maxWait time.Duration) spender.Admission {
	admission := a.AdmitLocal(o, maxWait)
	if admission.Admitted || a.PendingGrant == nil {
		return admission
	}
	pendingGrant := a.PendingGrant(o.Name)
	if pendingGrant == nil {
		return admission
	}
	timer := time.NewTimer(min(maxWait, settleTimeout))
	defer timer.Stop()
	select {
	case <-pendingGrant:
		return a.AdmitLocal(o, maxWait)
	case <-timer.C:
		return admission
	}
}

// exhaustedKey identifies an organisation's tokens on a token host.
type exhaustedKey struct{ host, organisation string }

// isSkipped reports whether a token host recently did not answer, or had no
// token for the organisation.
func (a *Admitter) isSkipped(host, organisation string) bool {
	if a.Backoffer.InBackoff(host) {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.exhausted[exhaustedKey{host, organisation}])
}

// markExhausted makes Admit skip a token host that has no token for an
// organisation.
func (a *Admitter) markExhausted(host, organisation string, retryAfter time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.exhausted == nil {
		a.exhausted = map[exhaustedKey]time.Time{}
	}
	a.exhausted[exhaustedKey{host, organisation}] = time.Now().Add(min(max(retryAfter, minExhaustedTime), maxExhaustedTime))
}

func (a *Admitter) markUnreachable(t TokenHost, err error) {
	if a.Backoffer.RecordFailure(t.Host) {
		a.Log.Warn(logger.EventTokenHostLost, zap.String("treasurer", t.Host), zap.Error(err))
	}
}

// ask sends a request to a token host. A token stays spent if the answer that
// grants it is lost.
func (a *Admitter) ask(t TokenHost, organisation string, maxWait time.Duration) (spender.Admission, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	header, err := proto.Marshal(&messenger.AdmissionRequest{Organisation: organisation, MaxWaitMs: uint32(maxWait.Milliseconds())})
	if err != nil {
		return spender.Admission{}, false, err
	}
	stream, _, err := a.Forwarder.TryOpen(ctx, t.Address, append([]byte{StreamKind}, header...))
	if err != nil {
		return spender.Admission{}, false, err
	}
	defer func() { _ = stream.Close() }()
	if err := stream.SetReadDeadline(time.Now().Add(requestTimeout)); err != nil {
		return spender.Admission{}, false, err
	}
	var answer messenger.AdmissionAnswer
	if err := protodelim.UnmarshalFrom(bufio.NewReader(stream), &answer); err != nil {
		return spender.Admission{}, false, err
	}
	return spender.Admission{
		Admitted: answer.GetAdmitted(), Wait: time.Duration(answer.GetWaitUs()) * time.Microsecond,
		RetryAfter: time.Duration(answer.GetRetryAfterMs()) * time.Millisecond, Share: answer.GetShare(), Tokens: answer.GetLevel(),
	}, answer.GetKnown(), nil
}

// StreamKind is the first byte of the headers that Handler handles.
const StreamKind = 'A'

// Handler returns the handler of another host's request, or nil if the header is
// invalid.
func (a *Admitter) Handler(header []byte) func(ctx context.Context, stream net.Conn) {
	var request messenger.AdmissionRequest
	if err := proto.Unmarshal(header, &request); err != nil {
		return nil
	}
	return func(_ context.Context, stream net.Conn) {
		defer func() { _ = stream.Close() }()
		answer := &messenger.AdmissionAnswer{}
		if o, ok := a.LookUpOrganisation(request.GetOrganisation()); ok {
			d := a.spend(o, time.Duration(request.GetMaxWaitMs())*time.Millisecond)
			answer = &messenger.AdmissionAnswer{
				Known: true, Admitted: d.Admitted, WaitUs: uint32(d.Wait.Microseconds()), RetryAfterMs: uint32(d.RetryAfter.Milliseconds()),
				Share: d.Share, Level: d.Tokens,
			}
		}
		if _, err := protodelim.MarshalTo(stream, answer); err != nil {
			a.Log.Info(logger.EventTokenHostLost, zap.String("asked_by", stream.RemoteAddr().String()), zap.Error(err))
		}
	}
}
