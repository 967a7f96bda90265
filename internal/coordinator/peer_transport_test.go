package coordinator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/shallotstage/shallotstage/internal/linker"
	"github.com/shallotstage/shallotstage/pkg/elector"
)

// The first message to a control host that had sent nothing for a while was lost, and so were pre-votes and votes.
func TestFirstMessageAfterSilenceArrives(t *testing.T) {
	l := listen(t, "127.0.0.1:0")
	receiver := &Coordinator{Settings: Settings{DataDir: t.TempDir(), Node: "b", PeerAddress: l.Addr().String()}, Now: time.Now, Decode: decodeVersion}
	qt.Assert(t, receiver.Open(), qt.IsNil)
	defer func() { _ = receiver.store.Close() }()
	go func() { _ = receiver.ServePeers(t.Context(), l) }()
	sender := &Coordinator{Dial: linker.Linker{}.Dial}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	sender.run = ctx
	sender.transport = newPeerTransport(sender)
	sender.transport.addresses[receiver.ID()] = l.Addr().String()
	send := func() {
		before := time.Now()
		sender.transport.send(elector.Message{Kind: elector.MessagePreVote, From: "a", To: receiver.ID(), Term: 1})
		waitFor(t, "the message", func() bool {
			receiver.transport.mu.Lock()
			defer receiver.transport.mu.Unlock()
			return receiver.transport.lastReceived["a"].After(before)
		})
	}
	send()
	<-time.After(peerSilenceTimeout + 100*time.Millisecond)
	send()
}
