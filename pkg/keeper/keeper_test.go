package keeper

import (
	"errors"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// decode decodes a document that consists of a version only.
func decode(document []byte) (Configuration, error) {
	v, err := strconv.ParseUint(string(document), 10, 64)
	if err != nil {
		return Configuration{}, errors.New("not a version")
	}
	return Configuration{Version: v}, nil
}

func configure(version uint64) Command {
	return Command{Kind: CommandConfigure, Version: version, Document: []byte(strconv.FormatUint(version, 10))}
}

func TestHighestVersionWins(t *testing.T) {
	s := New(decode)
	qt.Assert(t, s.Apply(configure(3), 1).Changed, qt.IsTrue)
	qt.Assert(t, s.Apply(configure(2), 2).Changed, qt.IsFalse)
	other := configure(3)
	other.Document = []byte("03")
	qt.Assert(t, s.Apply(other, 3).Changed, qt.IsFalse)
	qt.Assert(t, string(s.Document), qt.Equals, "3")
	qt.Assert(t, s.Apply(configure(9), 4).Changed, qt.IsTrue)
	bad := Command{Kind: CommandConfigure, Version: 10, Document: []byte("x")}
	qt.Assert(t, s.Apply(bad, 5).Err, qt.Not(qt.IsNil))
	qt.Assert(t, s.Configuration().Version, qt.Equals, uint64(9))
}

func announce(id, address string, incarnationStart int64, sequence uint64, role Role) Command {
	return Command{Kind: CommandUpdateUpstream, Upstream: &Upstream{
		ID: id, Service: "s", Address: address, Lifecycle: LifecycleReady, Role: role, IncarnationStart: incarnationStart, Sequence: sequence,
	}}
}

func TestUpstreams(t *testing.T) {
	remove := func(id string, incarnationStart int64) Command {
		return Command{Kind: CommandRemoveUpstream, Upstream: &Upstream{ID: id, IncarnationStart: incarnationStart}}
	}
	tests := []struct {
		name     string
		commands []Command
		live     []string
		primary  string
	}{
		{"late announcement", []Command{announce("a", "x:1", 5, 2, RoleReplica), announce("a", "x:1", 5, 1, RolePrimary)}, []string{"a"}, ""},
		{"restart with the same ID", []Command{announce("a", "x:1", 5, 9, RolePrimary), announce("a", "x:1", 6, 1, RoleReplica)}, []string{"a"}, ""},
		{"announcement of an earlier incarnation", []Command{announce("a", "x:1", 6, 1, RoleReplica), announce("a", "x:1", 5, 9, RolePrimary)}, []string{"a"}, ""},
		{"address taken over", []Command{announce("a", "x:1", 5, 9, RolePrimary), announce("b", "x:1", 6, 1, RoleReplica)}, []string{"b"}, ""},
		{"late announcement of the address's former upstream", []Command{announce("b", "x:1", 6, 1, RoleReplica), announce("a", "x:1", 5, 9, RolePrimary)}, []string{"b"}, ""},
		{"farewell", []Command{announce("a", "x:1", 5, 9, RolePrimary), remove("a", 0)}, nil, ""},
		{"late announcement after the sign-off", []Command{announce("a", "x:1", 5, 9, RoleReplica), remove("a", 0), announce("a", "x:1", 5, 8, RoleReplica)}, nil, ""},
		{"return after the sign-off", []Command{announce("a", "x:1", 5, 9, RoleReplica), remove("a", 0), announce("a", "x:1", 6, 1, RoleReplica)}, []string{"a"}, ""},
		{"late sign-off of an earlier incarnation", []Command{announce("a", "x:1", 6, 1, RoleReplica), remove("a", 5)}, []string{"a"}, ""},
		{"change of primary", []Command{announce("a", "x:1", 5, 1, RolePrimary), announce("b", "y:1", 5, 1, RoleReplica), announce("b", "y:1", 5, 2, RolePrimary)}, []string{"a", "b"}, "b"},
		{"replaced primary announces itself again", []Command{
			announce("a", "x:1", 5, 1, RolePrimary), announce("b", "y:1", 5, 1, RoleReplica), announce("b", "y:1", 5, 2, RolePrimary), announce("a", "x:1", 5, 2, RolePrimary),
		}, []string{"a", "b"}, "b"},
		{"replaced primary stays when its successor is gone", []Command{
			announce("a", "x:1", 5, 1, RolePrimary), announce("b", "y:1", 5, 1, RoleReplica), {Kind: CommandPromote, Service: "s", Candidate: "b"},
			announce("b", "y:1", 5, 2, RolePrimary), remove("b", 0), announce("a", "x:1", 5, 2, RolePrimary),
		}, []string{"a"}, ""},
		{"replaced primary is demoted and promoted again", []Command{
			announce("a", "x:1", 5, 1, RolePrimary), announce("b", "y:1", 5, 1, RoleReplica), {Kind: CommandPromote, Service: "s", Candidate: "b"},
			announce("b", "y:1", 5, 2, RolePrimary), announce("a", "x:1", 5, 2, RoleReplica), {Kind: CommandPromote, Service: "s", Candidate: "a"},
			announce("a", "x:1", 5, 3, RolePrimary),
		}, []string{"a", "b"}, "a"},
		{"replaced primary restarts", []Command{
			announce("a", "x:1", 5, 1, RolePrimary), announce("b", "y:1", 5, 1, RoleReplica), {Kind: CommandPromote, Service: "s", Candidate: "b"},
			announce("b", "y:1", 5, 2, RolePrimary), announce("a", "x:1", 7, 1, RolePrimary),
		}, []string{"a", "b"}, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(decode)
			for i, c := range test.commands {
				qt.Assert(t, s.Apply(c, uint64(i+1)).Err, qt.IsNil)
			}
			qt.Assert(t, s.Upstreams, qt.HasLen, len(test.live))
			for _, id := range test.live {
				_, ok := s.Upstreams[id]
				qt.Assert(t, ok, qt.IsTrue)
			}
			qt.Assert(t, s.Primaries["s"], qt.Equals, test.primary)
			body, err := s.Marshal()
			qt.Assert(t, err, qt.IsNil)
			restored, err := Unmarshal(body, decode)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, restored.Upstreams, qt.DeepEquals, s.Upstreams)
			qt.Assert(t, restored.Primaries, qt.DeepEquals, s.Primaries)
		})
	}
}

func TestTokensIncrease(t *testing.T) {
	s := New(decode)
	first := s.Apply(Command{Kind: CommandPromote, Service: "s", Candidate: "a"}, 7).Token
	second := s.Apply(Command{Kind: CommandPromote, Service: "s", Candidate: "a"}, 12).Token
	qt.Assert(t, second > first, qt.IsTrue)
	qt.Assert(t, s.Promotions["s"].Token, qt.Equals, second)
}

func TestIsNewAnnouncementIgnoresRepeatedAndStaleOnes(t *testing.T) {
	s := New(decode)
	s.Apply(announce("a", "x:1", 5, 1, RoleReplica), 1)
	same := *announce("a", "x:1", 5, 2, RoleReplica).Upstream
	qt.Assert(t, s.IsNewAnnouncement(same), qt.IsFalse)
	same.Lifecycle = LifecycleDraining
	qt.Assert(t, s.IsNewAnnouncement(same), qt.IsTrue)
	late := *announce("a", "x:1", 5, 1, RolePrimary).Upstream
	qt.Assert(t, s.IsNewAnnouncement(late), qt.IsFalse)
}

func TestMemberAtTheSameAddressReplacesFormerMember(t *testing.T) {
	s := New(decode)
	setMember := func(id, address string) Outcome {
		return s.Apply(Command{Kind: CommandSetMember, Member: &Member{ID: id, PeerAddress: address}}, 1)
	}
	qt.Assert(t, setMember("m1", "x:1").Changed, qt.IsTrue)
	qt.Assert(t, setMember("m1", "x:1").Changed, qt.IsFalse)
	qt.Assert(t, setMember("m2", "x:1").Changed, qt.IsTrue)
	qt.Assert(t, s.Members, qt.HasLen, 1)
}

func TestPeersFollowJoinedHosts(t *testing.T) {
	s := New(decode)
	join := Command{Kind: CommandHostJoined, Host: "entry-1", Peer: Peer{Address: "127.0.0.1:1", DataCentre: "a"}}
	qt.Assert(t, s.Apply(join, 1).Changed, qt.IsTrue)
	qt.Assert(t, s.Apply(join, 2).Changed, qt.IsFalse)
	join.Peer.Address = "127.0.0.1:2"
	before := s.PeersRevision()
	qt.Assert(t, s.Apply(join, 3).Changed, qt.IsTrue)
	qt.Assert(t, s.PeersRevision() > before, qt.IsTrue)
	body, err := s.Marshal()
	qt.Assert(t, err, qt.IsNil)
	restored, err := Unmarshal(body, decode)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, restored.Peers, qt.DeepEquals, map[string]Peer{"entry-1": join.Peer})
	qt.Assert(t, s.Apply(Command{Kind: CommandHostLeft, Host: "entry-1"}, 4).Changed, qt.IsTrue)
	qt.Assert(t, s.Peers, qt.HasLen, 0)
}

func TestPromotionIsUnfinishedUntilTheCandidateAnnouncesItself(t *testing.T) {
	s := New(decode)
	apply := func(c Command, index uint64) *View {
		qt.Assert(t, s.Apply(c, index).Err, qt.IsNil)
		return &View{Upstreams: s.Upstreams, Primaries: s.Primaries, Promotions: s.Promotions}
	}
	apply(announce("a", "x:1", 5, 1, RolePrimary), 1)
	apply(announce("b", "y:1", 5, 1, RoleReplica), 2)
	v := apply(Command{Kind: CommandPromote, Service: "s", Candidate: "b", Planned: true}, 3)
	p, ok := v.Promotion("s")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, p, qt.Equals, Promotion{Service: "s", Candidate: "b", Token: 3, Planned: true})
	v = apply(announce("b", "y:1", 5, 2, RolePrimary), 4)
	qt.Assert(t, v.PromotionCandidate("s"), qt.Equals, "")
	qt.Assert(t, s.Superseded, qt.DeepEquals, map[string]string{"a": "s"})
	// The new primary restarts as a replica: the promotion is not under way again.
	v = apply(announce("b", "y:1", 9, 1, RoleReplica), 5)
	qt.Assert(t, v.PromotionCandidate("s"), qt.Equals, "")
}

// One entry of the stored state that a build cannot decode kept its control host from
// starting.
func TestUnmarshalLeavesOutOddEntries(t *testing.T) {
	s := New(decode)
	s.Apply(Command{Kind: CommandUpdateUpstream, Upstream: &Upstream{ID: "good", Service: "s", Address: "a:1", Role: RolePrimary, Sequence: 1}}, 1)
	body, err := s.Marshal()
	qt.Assert(t, err, qt.IsNil)
	text := strings.Replace(string(body), `"upstreams":{`, `"upstreams":{"odd":{"id":"odd","slots":1e30},`, 1)
	text = strings.Replace(text, `"members":{}`, `"members":{"c1":[]}`, 1)
	qt.Assert(t, text, qt.Not(qt.Equals), string(body))
	got, err := Unmarshal([]byte(text), decode)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Ignored(), qt.HasLen, 2)
	qt.Assert(t, got.Upstreams, qt.DeepEquals, s.Upstreams)
	qt.Assert(t, got.Primaries, qt.DeepEquals, s.Primaries)
	// The state can be used: none of its maps is missing.
	got.Apply(Command{Kind: CommandSetMember, Member: &Member{ID: "c2"}}, 2)
	got.Apply(Command{Kind: CommandHostJoined, Host: "h"}, 3)
	got.Apply(Command{Kind: CommandRemoveUpstream, Upstream: &Upstream{ID: "good"}}, 4)
}

// Orders are repeated after lost answers: only the first may change the state, or the
// limit of the hosts would start again.
func TestEvacuationsAreIdempotent(t *testing.T) {
	s := New(decode)
	order := func(kind CommandKind, dataCentre string, index uint64) Outcome {
		return s.Apply(Command{Kind: kind, DataCentre: dataCentre}, index)
	}
	before := s.Revision()
	qt.Assert(t, order(CommandEvacuate, "a", 5), qt.Equals, Outcome{Changed: true})
	qt.Assert(t, s.Revision() > before, qt.IsTrue)
	before = s.Revision()
	qt.Assert(t, order(CommandEvacuate, "a", 6), qt.Equals, Outcome{})
	qt.Assert(t, order(CommandEndEvacuation, "b", 7), qt.Equals, Outcome{})
	qt.Assert(t, s.Revision(), qt.Equals, before)
	qt.Assert(t, s.Evacuations, qt.DeepEquals, map[string]uint64{"a": 5})
	qt.Assert(t, order(CommandEndEvacuation, "a", 8), qt.Equals, Outcome{Changed: true})
	qt.Assert(t, s.Revision() > before, qt.IsTrue)
	qt.Assert(t, s.Evacuations, qt.HasLen, 0)
	qt.Assert(t, order(CommandEvacuate, "", 9).Err, qt.Not(qt.IsNil))
}

// The state is sent to every host: names without end would grow it.
func TestEvacuationsAreBounded(t *testing.T) {
	s := New(decode)
	for i := range maxEvacuations {
		qt.Assert(t, s.Apply(Command{Kind: CommandEvacuate, DataCentre: strconv.Itoa(i)}, uint64(i+1)).Changed, qt.IsTrue)
	}
	qt.Assert(t, s.Apply(Command{Kind: CommandEvacuate, DataCentre: "more"}, 1000).Err, qt.Equals, ErrTooManyEvacuations)
	qt.Assert(t, s.Apply(Command{Kind: CommandEvacuate, DataCentre: "0"}, 1001), qt.Equals, Outcome{})
	qt.Assert(t, s.Evacuations, qt.HasLen, maxEvacuations)
}

func TestEvacuationsSurviveASnapshot(t *testing.T) {
	s := New(decode)
	s.Apply(Command{Kind: CommandEvacuate, DataCentre: "a"}, 5)
	body, err := s.Marshal()
	qt.Assert(t, err, qt.IsNil)
	restored, err := Unmarshal(body, decode)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, restored.Ignored(), qt.HasLen, 0)
	qt.Assert(t, restored.Evacuations, qt.DeepEquals, map[string]uint64{"a": 5})
}

// A state that a build without evacuations wrote must load, and take orders.
func TestStateWithoutEvacuationsLoads(t *testing.T) {
	body := `{"document":"Mw==","upstreams":{"u":{"id":"u","service":"s","address":"x:1","data_centre":"a","slots":4,"life":"ready","role":"primary","born":5,"sequence":1}},
"removed":{},"primaries":{"s":"u"},"promotions":{},"members":{},"hosts":{"h":true},"peers":{"h":{"address":"y:1","data_centre":"a"}}}`
	s, err := Unmarshal([]byte(body), decode)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Ignored(), qt.HasLen, 0)
	qt.Assert(t, s.Configuration().Version, qt.Equals, uint64(3))
	qt.Assert(t, s.Primaries, qt.DeepEquals, map[string]string{"s": "u"})
	qt.Assert(t, s.Apply(Command{Kind: CommandEvacuate, DataCentre: "a"}, 9).Changed, qt.IsTrue)
}
