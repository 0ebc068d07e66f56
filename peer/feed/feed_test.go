package feed

import (
	"bufio"
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragongw/clock"
	"tarragongw/core/directory"
	"tarragongw/core/dispatch"
	"tarragongw/core/keyspace"
	"tarragongw/core/targetlimit"
	"tarragongw/internal/waittest"
	"tarragongw/peer/feedpb"
)

// drawTable returns a copy of the table in which some random ranges have a new holder.
func drawTable(t *rapid.T, table *keyspace.Table) *keyspace.Table {
	next := table.Clone()
	for range rapid.IntRange(0, 5).Draw(t, "changes") {
		first := keyspace.Key(rapid.IntRange(0, int(keyspace.LastKey)).Draw(t, "first"))
		s := next.SplitOut(first, min(next.Find(first).To, keyspace.Key(min(int(first)+rapid.IntRange(0, 5000).Draw(t, "length"), int(keyspace.LastKey)))))
		s.Holder = keyspace.Holder{Target: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "holder"), StartUnixMilli: 1}
		s.Token, s.Moving = next.TakeToken(), rapid.Bool().Draw(t, "moving")
	}
	next.Join()
	return next
}

// receive encodes the update for a follower in the state and decodes it as the follower does;
// it returns the update and the follower's new state.
func receive(t interface {
	assert.TestingT
	Helper()
}, source *Source, state sentState, stale bool) (*feedpb.Update, sentState) {
	t.Helper()
	f, _, err := source.frameSince(state, true, stale)
	assert.NilError(t, err)
	data, err := f.withHeartbeat(&feedpb.Update{Beat: 3})
	assert.NilError(t, err)
	u := &feedpb.Update{}
	assert.NilError(t, unmarshalFrom(bufio.NewReader(bytes.NewReader(data)), u))
	u, err = unpack(u)
	assert.NilError(t, err)
	assert.Equal(t, u.GetBeat(), uint64(3))
	return u, f.after
}

// Whatever changes, and however many tables a follower misses, it has the leader's table after
// its next update.
func TestFollowersReachTheLeadersTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := NewSource()
		source.SetTargetsComplete()
		tables, state := map[string]*keyspace.Table{}, sentState{}
		table := keyspace.New("s")
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			table = drawTable(t, table)
			source.SetTable(Table{Revision: uint64(i/2 + 1), Sequence: uint64(i), Table: table})
			if rapid.Bool().Draw(t, "behind") {
				continue
			}
			var p *feedpb.Update
			p, state = receive(t, source, state, rapid.Bool().Draw(t, "stale"))
			_, err := decodeUpdate(p, tables)
			assert.NilError(t, err)
			assert.DeepEqual(t, tables["s"], table)
		}
	})
}

func TestPatchWithoutBaseOrWithGapIsRefused(t *testing.T) {
	_, err := decodeTable(&feedpb.Table{Patch: true}, nil)
	assert.Equal(t, err, errNoBase)
	gap := &feedpb.Table{Patch: true, Segments: []*feedpb.Segment{{First: 10, Last: 20}}}
	_, err = decodeTable(gap, keyspace.New("s"))
	assert.Assert(t, err != nil, "accepted a patch that leaves keys without a segment")
}

// Guards against patches that contain nearly the whole table because the first and the last
// of the changed segments lie far apart.
func TestPatchHasOnlyChangedSegments(t *testing.T) {
	before := keyspace.New("s")
	for k := keyspace.Key(100); k < 60000; k += 100 {
		before.SplitOut(k, k+99).Holder = keyspace.Holder{Target: "a", StartUnixMilli: int64(k)}
	}
	after := before.Clone()
	for _, k := range []keyspace.Key{150, 30010, 59910} {
		after.SplitOut(k, k+5).Moving = true
	}
	patch := encodePatch(Table{Table: before}, Table{Table: after})
	assert.Assert(t, len(patch.Segments) <= 9, "%d segments", len(patch.Segments))
	decoded, err := decodeTable(patch, before)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.Table, after)
}

// testLeader is a leader of term 7 that serves one source over TCP.
type testLeader struct {
	source *Source
	// fresh says whether the leader reaches the store.
	fresh atomic.Bool
	// reports, joined and backed receive the arguments of the server's callbacks.
	reports chan Report
	joined  chan time.Duration
	backed  chan time.Duration
	// followerCutOff says that the follower can't reach the store.
	followerCutOff atomic.Bool
	addr           string
	termCtx        context.Context
	endTerm        context.CancelFunc
	// onAge is called when the leader is asked for the age of its state; nil for nothing.
	onAge func()
}

func newTestLeader(t *testing.T, options ...func(*Server)) *testLeader {
	leader := &testLeader{source: NewSource(), reports: make(chan Report, 16), joined: make(chan time.Duration, 16), backed: make(chan time.Duration, 256)}
	leader.source.SetTargetsComplete()
	leader.fresh.Store(true)
	leader.termCtx, leader.endTerm = context.WithCancel(t.Context())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	leader.addr = l.Addr().String()
	server := &Server{
		LeaderSource: func(term uint64) (context.Context, *Source) {
			if term != 7 {
				return nil, nil
			}
			return leader.termCtx, leader.source
		},
		OnJoin:   func(router Router, term uint64, promised time.Duration) { leader.joined <- promised },
		OnBacked: func(router string, term uint64, until time.Duration) { leader.backed <- until - clock.Boot{}.Now() },
		ConfigAge: func() time.Duration {
			if leader.onAge != nil {
				leader.onAge()
			}
			return 0
		},
		StoreReachable: leader.fresh.Load, OnReport: func(r Report) { leader.reports <- r }, Clock: clock.Boot{}, Log: slog.New(slog.DiscardHandler),
	}
	for _, set := range options {
		set(server)
	}
	go func() { assert.Check(t, server.Serve(t.Context(), l)) }()
	return leader
}

var sampleStats = []dispatch.TargetStats{{Target: "a", Answers: 3, Mean: 150 * time.Millisecond}}

// follow runs a follower that sends one report, until the feed ends. Updates are sent to the
// channel; the returned channel receives the result of Run.
func (leader *testLeader) follow(t *testing.T, term uint64, updates chan<- *Update) <-chan error {
	ended := make(chan error, 1)
	reported := false
	f := &Follower{
		Router: Router{Name: "r"}, Address: leader.addr, Term: term,
		OnUpdate: func(u *Update) { updates <- u }, Promised: 30 * time.Millisecond,
		Backs: leader.followerCutOff.Load, OnBacked: func(time.Time) {},
		Reports: func() []Report {
			if reported {
				return nil
			}
			reported = true
			return []Report{{Service: "s", Keys: []keyspace.Key{1, 1, 65535}, ServiceTimes: sampleStats}}
		},
	}
	go func() { ended <- f.Run(t.Context()) }()
	return ended
}

func TestFollowerReceivesUpdatesAndReports(t *testing.T) {
	leader := newTestLeader(t)
	target := directory.Target{ID: "a", StartUnixMilli: 3, Address: "h:1", Service: "s", DataCentre: "hall", Slots: 6, Revision: 12}
	leader.source.SetTargets([]directory.Target{target}, 14)
	leader.source.SetConfig(9, nil)
	updates := make(chan *Update, 64)
	leader.follow(t, 7, updates)
	u := <-updates
	assert.Assert(t, u.TargetsComplete)
	assert.Equal(t, u.TargetsRevision, uint64(14))
	assert.Equal(t, u.ConfigVersion, uint64(9))
	assert.DeepEqual(t, u.Targets, []directory.Target{target})
	assert.DeepEqual(t, <-leader.reports, Report{Service: "s", Keys: []keyspace.Key{1, 1, 65535}})
	assert.DeepEqual(t, <-leader.reports, Report{Service: "s", ServiceTimes: sampleStats})
	leader.source.SetServiceTimes(ServiceTimes{Service: "s", Targets: sampleStats})
	waittest.Until(t, "the service times are sent", func() bool {
		times := (<-updates).ServiceTimes
		return len(times) == 1 && times[0].Service == "s" && len(times[0].Targets) == 1 && times[0].Targets[0] == sampleStats[0]
	})
	leader.source.SetTargets(nil, 0)
	waittest.Until(t, "the removed target is sent", func() bool { return len((<-updates).RemovedTargets) == 1 })
}

// Guards against followers that count a state as confirmed which lacks the last changes, because the leader was held up
// between the two parts of an update.
func TestUpdateHasAllThatItsAgeCounts(t *testing.T) {
	leader := newTestLeader(t)
	leader.onAge = func() {
		leader.source.SetTargets([]directory.Target{{ID: "a", Draining: true}}, 0)
		leader.onAge = nil
	}
	updates := make(chan *Update, 64)
	leader.follow(t, 7, updates)
	u := <-updates
	assert.Equal(t, len(u.Targets), 1, "the update says that its state is the newest, and lacks a target")
}

// Guards against followers that send requests to targets that have left: a leader that alone
// is cut off from the store still sends heartbeats, and followers that see no change in them
// conclude that nothing has changed.
func TestLeaderThatCannotReachTheStoreSendsStaleUpdates(t *testing.T) {
	leader := newTestLeader(t)
	leader.source.SetConfig(1, nil)
	updates := make(chan *Update, 64)
	leader.follow(t, 7, updates)
	assert.Assert(t, !(<-updates).Stale)
	leader.fresh.Store(false)
	waittest.Until(t, "updates are marked as stale", func() bool { return (<-updates).Stale })
	leader.source.SetConfig(2, nil)
	leader.source.SetTargets([]directory.Target{{ID: "a"}}, 0)
	leader.source.SetTable(Table{Revision: 1, Table: keyspace.New("s")})
	tables := 0
	for range 4 {
		u := <-updates
		assert.Assert(t, u.Stale && u.ConfigVersion == 0 && len(u.Targets) == 0, "%+v", u)
		tables += len(u.Tables)
	}
	assert.Equal(t, tables, 1, "the leader writes the tables itself, so it has to send them")
	leader.fresh.Store(true)
	waittest.Until(t, "updates have the new configuration after the store is reached again", func() bool { return (<-updates).ConfigVersion == 2 })
}

// A router that can't reach the store backs its leader, counted from when the heartbeat that it
// answers was sent; a router that reaches the store backs no leader.
func TestRoutersThatCannotReachTheStoreBackTheirLeader(t *testing.T) {
	leader := newTestLeader(t)
	leader.source.SetConfig(1, nil)
	updates := make(chan *Update, 256)
	leader.follow(t, 7, updates)
	assert.Equal(t, <-leader.joined, 30*time.Millisecond)
	time.Sleep(2 * reportEvery)
	assert.Equal(t, len(leader.backed), 0)
	leader.followerCutOff.Store(true)
	remaining := <-leader.backed
	assert.Assert(t, remaining <= BackedFor && remaining > BackedFor/4, "%v", remaining)
}

// Guards against a router that takes all targets for gone when it starts to follow a new leader
// that has reached the store but has not read the targets yet.
func TestUpdateIsNotCompleteBeforeTargetsAreRead(t *testing.T) {
	source := NewSource()
	source.SetTargets(nil, 0)
	u, state := receive(t, source, sentState{}, false)
	assert.Assert(t, u.Stale && !u.Whole)
	source.SetTargets([]directory.Target{{ID: "a"}}, 0)
	source.SetTargetsComplete()
	u, _ = receive(t, source, state, false)
	assert.Assert(t, u.Whole && len(u.Targets) == 1)
}

func TestEndOfTheTermEndsTheFeed(t *testing.T) {
	leader := newTestLeader(t)
	leader.source.SetConfig(1, nil)
	updates := make(chan *Update, 64)
	ended := leader.follow(t, 7, updates)
	<-updates
	leader.endTerm()
	assert.Assert(t, <-ended != nil)
	assert.Assert(t, <-leader.follow(t, 8, updates) != nil, "a follower of another term was accepted")
}

// Guards against a follower that has no configuration, or only a part of one.
func TestConfigurationIsSentOnceAndCompletely(t *testing.T) {
	source := NewSource()
	source.SetTargetsComplete()
	value := bytes.Repeat([]byte(`{"name":"a","prefix":"/a/"},`), 4000)
	source.SetConfig(9, value)
	decode := func(state sentState) (*Update, sentState) {
		p, after := receive(t, source, state, false)
		u, err := decodeUpdate(p, map[string]*keyspace.Table{})
		assert.NilError(t, err)
		return u, after
	}
	u, state := decode(sentState{})
	assert.Equal(t, u.ConfigVersion, uint64(9))
	assert.Assert(t, bytes.Equal(u.ConfigValue, value))
	u, _ = decode(state)
	assert.Equal(t, u.ConfigVersion, uint64(9))
	assert.Equal(t, len(u.ConfigValue), 0)
	random := make([]byte, 2*maxCompressedConfig)
	rand.NewChaCha8([32]byte{1}).Read(random)
	source.SetConfig(10, random)
	u, _ = decode(state)
	assert.Equal(t, u.ConfigVersion, uint64(10))
	assert.Equal(t, len(u.ConfigValue), 0, "the configuration is too large for a feed")
}

// Guards against data that decompresses to more than the largest configuration.
func TestCompressedConfigurationIsBounded(t *testing.T) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestCompression)
	assert.NilError(t, err)
	_, err = w.Write(make([]byte, 4*maxConfigSize))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	_, err = decompressConfig(compressed.Bytes())
	assert.ErrorContains(t, err, "too long")
	_, err = decompressConfig([]byte{0xff, 1})
	assert.Assert(t, err != nil)
}

// sourceWithTargets returns a source that publishes n targets and a table in which each holds
// some keys.
func sourceWithTargets(n int) *Source {
	source, table := NewSource(), keyspace.New("s")
	targets := make([]directory.Target, n)
	width := (int(keyspace.LastKey) + 1) / n
	for i := range targets {
		id := fmt.Sprintf("i-%010x", uint64(i)*2654435761)
		targets[i] = directory.Target{
			ID: id, StartUnixMilli: 3, Address: fmt.Sprintf("10.%d.64.%d:8568", i%5, i%250), Service: "s", DataCentre: "hall", Slots: 6,
		}
		table.SplitOut(keyspace.Key(i*width), keyspace.Key((i+1)*width-1)).Holder = keyspace.Holder{Target: id, StartUnixMilli: 3}
	}
	source.SetTargets(targets, 0)
	source.SetTable(Table{Revision: 2, Table: table})
	source.SetTargetsComplete()
	return source
}

// Guards against a leader that looks up, encodes and compresses the same changes for each of
// hundreds of followers.
func TestFollowersInTheSameStateShareAFrame(t *testing.T) {
	source := sourceWithTargets(10)
	first, _, err := source.frameSince(sentState{}, true, false)
	assert.NilError(t, err)
	for range 300 {
		next, _, err := source.frameSince(sentState{}, true, false)
		assert.NilError(t, err)
		assert.Assert(t, next == first)
	}
	stale, _, err := source.frameSince(sentState{}, true, true)
	assert.NilError(t, err)
	assert.Assert(t, stale != first, "a stale leader has to send another frame")
	source.SetLimits(Limits{Service: "s"})
	next, _, err := source.frameSince(sentState{}, true, false)
	assert.NilError(t, err)
	assert.Assert(t, next != first, "the frame from before the change was sent again")
}

// Guards against routers that all start at once and for whose complete updates the leader's
// link is busy for longer than silenceTimeout.
func TestCompleteUpdateOfThousandsOfTargetsIsShort(t *testing.T) {
	const targets, perTarget = 3000, 60
	source := sourceWithTargets(targets)
	f, _, err := source.frameSince(sentState{}, true, false)
	assert.NilError(t, err)
	assert.Assert(t, len(f.data) < targets*perTarget, "%d bytes", len(f.data))
	u, _ := receive(t, source, sentState{}, false)
	assert.Equal(t, len(u.GetTargets()), targets)
	assert.Equal(t, len(u.GetTables()), 1)
}

// Guards against followers that consider a leader lost while its long update is still arriving
// over a busy link, and against waiting for a leader that has stopped sending or that sends
// too slowly to finish.
func TestLongFramesMayTakeLongerThanSilenceWhileTheyProgress(t *testing.T) {
	f, _, err := sourceWithTargets(3000).frameSince(sentState{}, true, false)
	assert.NilError(t, err)
	data, err := f.withHeartbeat(&feedpb.Update{Beat: 1})
	assert.NilError(t, err)
	readFrame := func(parts int, pause time.Duration, sent int) error {
		leader, follower := net.Pipe()
		defer leader.Close()
		defer follower.Close()
		go func() {
			for i := range sent {
				if _, err := leader.Write(data[len(data)*i/parts : len(data)*(i+1)/parts]); err != nil {
					return
				}
				time.Sleep(pause)
			}
		}()
		_, err := newUpdateReader(follower).next()
		return err
	}
	assert.NilError(t, readFrame(6, silenceTimeout/4, 6))
	assert.Assert(t, readFrame(4, 0, 2) != nil, "no error although the leader stopped sending")
	assert.Assert(t, readFrame(20, silenceTimeout/2, 20) != nil, "no error although the frame took longer than frameTimeout")
}

// Guards against a router of an older version, during an upgrade of the fleet, that decodes a
// packed update as an empty one.
func TestFollowerThatCannotUnpackIsSentPlainUpdates(t *testing.T) {
	f, _, err := sourceWithTargets(3000).frameSince(sentState{}, false, false)
	assert.NilError(t, err)
	u := &feedpb.Update{}
	assert.NilError(t, proto.Unmarshal(f.data, u))
	assert.Equal(t, len(u.GetPacked()), 0)
	assert.Equal(t, len(u.GetTargets()), 3000)
}

func TestPackedUpdateThatIsTooLongIsRefused(t *testing.T) {
	packed, err := deflate(make([]byte, maxFrame+1))
	assert.NilError(t, err)
	_, err = unpack(&feedpb.Update{Packed: packed})
	assert.Assert(t, err != nil)
}

// Guards against permits that are lost because they came with an update that was packed, and against a list of limits that a
// new follower isn't told to be empty.
func TestPermitsAndLimitsReachFollowers(t *testing.T) {
	source := NewSource()
	u, state := source.updateSince(sentState{}, true)
	assert.Assert(t, u.GetTargetLimits() != nil && len(u.GetTargetLimits().GetLimits()) == 0)
	limits := []targetlimit.Limit{{Holder: keyspace.Holder{Target: "a", StartUnixMilli: 7}, Service: "s", PerSecond: 3.5}}
	source.SetTargetLimits(limits)
	u, state = source.updateSince(state, true)
	assert.DeepEqual(t, decodeTargetLimits(u.GetTargetLimits()).Limits, limits)
	u, _ = source.updateSince(state, true)
	assert.Assert(t, u.GetTargetLimits() == nil)

	packed, err := proto.Marshal(&feedpb.Update{Whole: true})
	assert.NilError(t, err)
	deflated, err := deflate(packed)
	assert.NilError(t, err)
	permits := []Permits{{ID: 4, Granted: 1}, {ID: 5, Wait: 300 * time.Millisecond}}
	unpacked, err := unpack(&feedpb.Update{Packed: deflated, Permits: encodePermits(permits)})
	assert.NilError(t, err)
	assert.DeepEqual(t, decodePermits(unpacked.GetPermits()), permits)
}

// Guards against followers that have found an entry missing, and are not told that it is back or are told an old revision of it.
func TestEntryThatIsBackIsSentWithItsNewRevision(t *testing.T) {
	s := NewSource()
	s.SetTargetsComplete()
	target := directory.Target{ID: "a", Service: "s", Revision: 10, Created: 10}
	s.SetTargets([]directory.Target{target}, 10)
	first, state := s.updateSince(sentState{}, false)
	assert.Equal(t, first.GetTargets()[0].GetRevision(), uint64(10))
	target.Revision = 12
	s.SetTargets([]directory.Target{target}, 12)
	heartbeat, state := s.updateSince(state, false)
	assert.Equal(t, len(heartbeat.GetTargets()), 0)
	whole, _ := s.updateSince(sentState{}, false)
	assert.Equal(t, whole.GetTargets()[0].GetRevision(), uint64(12))
	target.Revision, target.Created = 14, 14
	s.SetTargets([]directory.Target{target}, 14)
	back, _ := s.updateSince(state, false)
	assert.Equal(t, back.GetTargets()[0].GetRevision(), uint64(14))
}
