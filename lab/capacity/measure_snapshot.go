package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime"
	"time"

	"tarragongw/config"
	"tarragongw/core/model"
	"tarragongw/core/ownership"
	"tarragongw/core/selector"
	"tarragongw/kv"
	"tarragongw/kv/standin"
	"tarragongw/operator"
	"tarragongw/router"
)

const (
	routerName, homeDC, awayDC = "router", "dc", "elsewhere"
	// applyWait bounds the time until a model is accepted and in force.
	applyWait = 60 * time.Second
	// snapshotOps are the writers that a record remembers at most.
	snapshotOps = 32
)

// startRouter starts a router whose store and list of VMs are the stand-in's.
func startRouter(store *standin.Platform, name string) *router.Router {
	settings := config.Defaults()
	settings.Name, settings.DataCentre = name, homeDC
	settings.Listen.Caller, settings.Listen.Operator, settings.Listen.Peer = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	client := store.Client(settings.Name)
	r := must(router.New(router.Options{
		Settings: &settings, Store: client, Directory: client, Logger: slog.New(slog.DiscardHandler),
	}))
	r.Start()
	return r
}

// listVMs puts the routers on the platform's list.
func listVMs(store *standin.Platform, routers map[string]*router.Router) {
	var vms []kv.VM
	for name, r := range routers {
		vms = append(vms, kv.VM{Name: name, DataCentre: homeDC, PeerAddress: r.Addresses().Peer})
	}
	store.SetVMs(vms)
}

// apply puts a model in force at the router.
func apply(r *router.Router, m *model.Model) {
	ctx, cancel := context.WithTimeout(context.Background(), applyWait)
	defer cancel()
	c := &operator.Client{Base: "http://" + r.Addresses().Operator, HTTP: &http.Client{Timeout: applyWait}}
	want := must(c.Apply(ctx, &operator.ApplyRequest{Author: "capacity", Model: must(config.Encode(m))}))
	for must(c.Status(ctx)).Revision < want.Revision {
		time.Sleep(20 * time.Millisecond)
	}
}

// serviceNamed is a service divided by key.
func serviceNamed(name string, slots uint32) model.Service {
	return model.Service{
		Name: name, Division: model.ByKey, HashSlots: slots, PathPrefix: "/" + name,
		Key:     model.Extract{From: model.FromPath},
		Caller:  model.Extract{From: model.FromHeader, Name: "X-Caller"},
		Timeout: 10 * time.Second, ProgressTimeout: 10 * time.Second, QueueLength: 512,
		Isolation: model.Isolation{Keep: true},
	}
}

// targetNamed is a target with today's connections and the given address.
func targetNamed(name, service, dc, address string) model.Target {
	return model.Target{
		Name: name, Service: service, DataCentre: dc, Address: address,
		Labels: model.Labels{"rack": "r-" + name[len(name)-1:]},
		Slots:  6, Connections: 130, Grants: model.GrantCheck{ChecksTokens: true, Expires: true},
	}
}

// modelOf returns a model with services, targets of another data centre and
// single-key overrides.
func modelOf(services, targets, overrides int) *model.Model {
	m := &model.Model{}
	rnd := rand.New(rand.NewPCG(1, uint64(targets)))
	for i := range services {
		m.Services = append(m.Services, serviceNamed(fmt.Sprintf("service-%04d", i), slotsPerService))
	}
	for i := range targets {
		// Addresses and racks as they come about, so that the record packs no better than a real one.
		address := fmt.Sprintf("10.%d.%d.%d:8080", 200+rnd.IntN(50), rnd.IntN(256), rnd.IntN(256))
		t := targetNamed(fmt.Sprintf("target-%05d", i), m.Services[i%services].Name, awayDC, address)
		t.Labels["rack"] = fmt.Sprintf("r%04x", rnd.IntN(1<<16))
		m.Targets = append(m.Targets, t)
	}
	for i := range overrides {
		key := fmt.Sprintf("stall-%08d", i)
		m.Ranges = append(m.Ranges, model.KeyRange{
			Name: "override-" + key, Service: m.Services[i%services].Name, From: key, To: key, Labels: model.Labels{"hot": "yes"},
		})
	}
	return m
}

// snapshotTargets measures what the targets of other data centres cost a router that
// runs with them in force: the model, its compiled form, and what it keeps for each.
func snapshotTargets(s *Slopes) {
	var memory, used []Point
	for _, n := range []int{100, 1000, 4000} {
		before := atRest()
		store := standin.New(standin.Config{})
		r := startRouter(store, routerName)
		listVMs(store, map[string]*router.Router{routerName: r})
		m := modelOf(10, n, 0)
		apply(r, m)
		used = append(used, Point{float64(n), idleCPU()})
		memory = append(memory, Point{float64(n), atRest() - before})
		r.Abort()
	}
	const x = "targets of other data centres"
	s.add("snapshot.target.memory", x, "bytes of heap and stacks of a whole router, store's stand-in included", memory...)
	s.add("snapshot.target.cpu", x, "µs of CPU a second at rest", used...)
}

// compiled returns the bytes that a decoded and compiled model keeps alive.
func compiled(m *model.Model) float64 {
	encoded := must(config.Encode(m))
	read := func() any {
		c, problems := selector.Compile(must(config.Decode(encoded)))
		if len(problems) > 0 {
			panic(problems)
		}
		return c
	}
	_ = read() // what the first use leaves in pools is not the model's
	runtime.GC()
	return heap(read)
}

// snapshotModel measures the compiled model by services and by overrides.
func snapshotModel(s *Slopes) {
	var services, overrides, size []Point
	for _, n := range []int{16, 64, 256} {
		services = append(services, Point{float64(n), compiled(modelOf(n, 0, 0))})
	}
	for _, n := range []int{100, 1000, 4000} {
		m := modelOf(1, 1, n)
		overrides = append(overrides, Point{float64(n), compiled(m)})
		size = append(size, Point{float64(n), float64(len(must(config.Encode(m))))})
	}
	s.add("snapshot.service.memory", "services", "bytes of heap of the compiled model", services...)
	s.add("snapshot.override.memory", "single-key overrides", "bytes of heap of the compiled model", overrides...)
	s.add("model.override.size", "single-key overrides in the model", "bytes of the encoded model", size...)
}

// grantorBytes is a grantor record that remembers its last writers.
func grantorBytes(i, writers int) []byte {
	g := ownership.GrantorRecord{
		Target: fmt.Sprintf("target-%05d", i), Term: 1 << 10, Router: writer(i),
		Successors: []ownership.Router{writer(i + 1), writer(i + 2)},
	}
	for w := range writers {
		g.Ops = append(g.Ops, ownership.Op{Router: writer(i + w), Sequence: 1 << 16})
	}
	return g.Encode()
}

func writer(i int) ownership.Router {
	return ownership.Router{Name: vm(0, i%routersPerDC).Name, Incarnation: 1 << 40}
}

// slotBytes is an ownership record of slots in runs of the given length, as moves
// leave them.
func slotBytes(service string, index, run, writers int) []byte {
	shard := ownership.Shard{Service: service, Index: uint32(index)}
	for i := range ownership.ShardSlots {
		at := index*ownership.ShardSlots + i
		shard.Slots = append(shard.Slots, ownership.UnitState{
			Target: fmt.Sprintf("target-%05d", at/run%173), Token: uint64(1 + at/run%1000),
		})
	}
	for w := range writers {
		shard.Ops = append(shard.Ops, ownership.Op{Router: writer(w), Sequence: 1 << 16})
	}
	return shard.Encode()
}

// tableOf returns the routing table that the records give.
func tableOf(grantors, writers, slotRecords int) *ownership.Table {
	var updates []ownership.Update
	for i := range grantors {
		updates = append(updates, ownership.Update{Revision: 1, Grantor: must(ownership.DecodeGrantor(grantorBytes(i, writers)))})
	}
	for i := range slotRecords {
		service := fmt.Sprintf("service-%04d", i/2)
		shard := must(ownership.DecodeShard(ownership.SlotKey(service, 0), slotBytes(service, i%2, 1, snapshotOps)))
		updates = append(updates, ownership.Update{Revision: 1, Shard: shard})
	}
	t, _ := ownership.NewTable().Apply(updates...)
	return t
}

// wholeRecords are what duties keep, writers included.
func wholeRecords(n int) []*ownership.GrantorRecord {
	out := make([]*ownership.GrantorRecord, n)
	for i := range out {
		out[i] = must(ownership.DecodeGrantor(grantorBytes(i, writersRemembered)))
	}
	return out
}

// snapshotTable measures the routing table by grantors and by units, and the records.
func snapshotTable(s *Slopes) {
	var grantors, duties, units, grantorSize, slotSize []Point
	for _, n := range []int{100, 1000, 17270} {
		grantors = append(grantors, Point{float64(n), heap(func() any { return tableOf(n, snapshotOps, 0) })})
		duties = append(duties, Point{float64(n), heap(func() any { return wholeRecords(n) })})
	}
	for _, n := range []int{4, 32, 200} {
		units = append(units, Point{float64(n * ownership.ShardSlots), heap(func() any { return tableOf(0, 0, n) })})
	}
	for _, n := range []int{2, 8, snapshotOps} {
		grantorSize = append(grantorSize, Point{float64(n), float64(len(grantorBytes(1, n)))})
	}
	for _, run := range []int{64, 8, 1} {
		b := slotBytes("service-0001", 1, run, snapshotOps)
		slotSize = append(slotSize, Point{float64(ownership.ShardSlots / run), float64(len(b))})
	}
	s.add("table.grantor.memory", "grantor records of 32 writers", "bytes of heap of the routing table", grantors...)
	s.add("duty.record.memory", "targets of a router's data centre", "bytes of heap of whole records with 8 writers", duties...)
	s.add("table.unit.memory", "units", "bytes of heap of the routing table", units...)
	s.add("grantor.record", "writers that the record remembers", "bytes of a grantor record", grantorSize...)
	s.add("slot.record", "runs of slots with one owner in a record of 2,048", "bytes of a slot record", slotSize...)
}

// atRest returns what is in use once pools have given up what they kept.
func atRest() float64 {
	time.Sleep(500 * time.Millisecond)
	_ = resident()
	return resident()
}

// drainAnswer reads an answer to its end.
func drainAnswer(resp *http.Response) {
	_, _ = io.Copy(io.Discard, resp.Body) // a broken answer shows at the next request
	_ = resp.Body.Close()
}
