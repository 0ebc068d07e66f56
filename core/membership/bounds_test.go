package membership

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newBoundedCore() *Core {
	self := Member{Name: "a", DataCentre: "lapu", Address: "10.0.0.1:1", Incarnation: 1}
	return New(DefaultConfig(), self, rand.New(rand.NewPCG(1, 2)))
}

// A message within the size limit can contain a member name of hundreds of kilobytes or
// thousands of data centres. Limiting only the number of members would let the memory of a
// router grow until the process ends.
func TestMembersAndDataCentresAreBounded(t *testing.T) {
	c := newBoundedCore()
	now := time.Unix(100, 0)
	from := Member{Name: "b", DataCentre: "lapu", Address: "10.0.0.2:1", Incarnation: 1}
	c.Step(now, Received{From: from, Message: Message{Kind: Ping, Seq: 1}})
	assert.Equal(t, c.View().State("b"), Alive)

	long := strings.Repeat("x", MaxAddress+1)
	m := Message{Kind: Push, Seq: 2}
	for _, member := range []Member{
		{Name: long, DataCentre: "lapu", Incarnation: 1},
		{Name: "c", DataCentre: long, Incarnation: 1},
		{Name: "d", DataCentre: "lapu", Address: long, Incarnation: 1},
		{Name: "b", DataCentre: "lapu", Address: long, Incarnation: 2},
	} {
		m.Updates = append(m.Updates, Update{Member: member, Version: 9, State: Alive})
	}
	c.Step(now, Received{From: from, Message: m})
	c.Step(now, Received{From: Member{Name: long, DataCentre: "lapu", Incarnation: 1}, Message: Message{Kind: Ping}})
	c.Step(now, Listed{VMs: []ListedVM{{Name: long, DataCentre: "lapu"}, {Name: "e", DataCentre: "lapu", Address: long}}})
	assert.Equal(t, len(c.View().Members("lapu")), 2)
	status, _ := c.View().Status("b")
	assert.Equal(t, status.Incarnation, uint64(1))

	m = Message{Kind: Digest, Seq: 3}
	for i := range 10 * MaxDataCentres {
		name := fmt.Sprint("dc-", i)
		m.Digests = append(m.Digests, DCDigest{DataCentre: name, Sum: 1})
		m.Links = append(m.Links, Link{From: "b", Incarnation: 1, DataCentre: "link-" + name, Seq: 1})
		m.Updates = append(m.Updates, Update{Member: Member{Name: "r" + name, DataCentre: "u" + name, Incarnation: 1}, State: Alive})
	}
	c.Step(now, Received{From: from, Message: m})
	assert.Assert(t, len(c.View().DataCentres()) <= MaxDataCentres, "%d", len(c.View().DataCentres()))
	// Data centres that are already in the view still accept members.
	c.Step(now, Received{From: Member{Name: "z", DataCentre: "lapu", Incarnation: 1}, Message: Message{Kind: Ping}})
	assert.Equal(t, c.View().State("z"), Alive)
}

// The platform's VM list adds no more members than a view may hold.
func TestListOfVMsIsBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxMembers = 10
	c := New(cfg, Member{Name: "a", DataCentre: "lapu", Incarnation: 1}, rand.New(rand.NewPCG(1, 2)))
	var list Listed
	for i := range 1000 {
		list.VMs = append(list.VMs, ListedVM{Name: fmt.Sprint("vm-", i), DataCentre: "lapu"})
	}
	c.Step(time.Unix(100, 0), list)
	assert.Equal(t, len(c.byName), 10)
}
