package gateway

import (
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/clock"
	"tarragongw/duty"
	"tarragongw/peer/feed"
)

// Guards against contacts that are all cut off with one data centre.
func TestContactsAreSpreadOverDataCentres(t *testing.T) {
	routers := map[string]feed.Router{}
	for i := range 30 {
		name := fmt.Sprintf("big-%02d", i)
		routers[name] = feed.Router{Name: name, DataCentre: "big", Address: name}
	}
	for _, name := range []string{"small-0", "small-1"} {
		routers[name] = feed.Router{Name: name, DataCentre: "small", Address: name}
	}
	routers["old"] = feed.Router{Name: "old", DataCentre: "third"} // its record has no address
	assert.DeepEqual(t, chooseContacts(routers), []string{"big-00", "small-0", "big-01", "small-1", "big-02", "big-03", "big-04", "big-05"})
	assert.Equal(t, len(chooseContacts(nil)), 0)
}

// Guards against a router that asks itself, or that doesn't ask the last known leader.
func TestARouterAsksOthersAndTheLastLeader(t *testing.T) {
	c := newContacts(&Gateway{opts: Options{PeerAddress: "self"}})
	c.addresses = []string{"self", "a"}
	assert.DeepEqual(t, c.others("leader"), []string{"a", "leader"})
	assert.DeepEqual(t, c.others("a"), []string{"a"})
}

// Guards against routers of an earlier version, whose records have no address.
func TestRecordsOfRoutersAreDecoded(t *testing.T) {
	g := &Gateway{opts: Options{DataCentre: "hall", PeerAddress: "10.0.0.1:7201"}}
	assert.Equal(t, decodeRouter("r", g.ownRecord()), feed.Router{Name: "r", DataCentre: "hall", Address: "10.0.0.1:7201"})
	assert.Equal(t, decodeRouter("r", []byte("hall")), feed.Router{Name: "r", DataCentre: "hall"})
}

// Guards against a configuration that counts as newer than it is because this router or the other one was held up
// between the question and its answer.
func TestStateOfAnotherRouterIsAsOldAsTheQuestion(t *testing.T) {
	g, _ := idleGateway(t)
	held := &clock.Manual{}
	g.opts.Clock = held
	g.contacts = newContacts(g)
	g.subscription = newSubscription(g)
	g.workers, g.system = duty.NewWorkers(g.lifetime), duty.NewSystem(g.log)
	received := make(chan *peerState, 1)
	g.state = &clusterState{g: g}
	g.state.duty = duty.Start(g.system, g.workers, 1, false, func(message any) { received <- message.(*peerState) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &feed.Server{Log: g.log, Clock: held, State: func() *feed.State {
		held.Advance(time.Second)
		return &feed.State{ConfigVersion: 7, ConfigAge: 300 * time.Millisecond}
	}}
	go func() { assert.Check(t, server.Serve(t.Context(), l)) }()
	held.Advance(time.Minute)
	g.contacts.askOne(l.Addr().String())
	m := <-received
	assert.Equal(t, m.askedAt, time.Minute)
	assert.Equal(t, m.state.ConfigAge, 300*time.Millisecond)
}
