package main

import (
	"context"
	"slices"

	"tarragongw/config"
	"tarragongw/confstore"
	"tarragongw/core/model"
	"tarragongw/core/patch"
	"tarragongw/core/selector"
	"tarragongw/core/spread"
	"tarragongw/kv"
	"tarragongw/kv/standin"
	"tarragongw/peer/wire"
)

// modelSizes are the targets of the models of which the record is measured; the largest
// is the size to design for.
var modelSizes = []int{1000, 4000, 17270}

// patchedTargets are the changes of one target each that a patch's size is the mean of.
const patchedTargets = 16

// modelStore is the configuration in a store of its own.
type modelStore struct {
	client kv.Store
	editor *confstore.Editor
}

func newModelStore(m *model.Model) *modelStore {
	client := standin.New(standin.Config{}).Client(routerName)
	s := &modelStore{client, &confstore.Editor{Store: client, History: &confstore.History{}}}
	must(s.editor.Replace(context.Background(), 0, m, "capacity", false))
	return s
}

func (s *modelStore) record() kv.Record {
	return must(s.client.Get(context.Background(), confstore.Key))
}

// drain changes one target.
func (s *modelStore) drain(i int) {
	must(s.editor.Change(context.Background(), "capacity", false, func(present *model.Model) (*model.Model, error) {
		next := *present
		next.Targets = slices.Clone(present.Targets)
		next.Targets[i].Drain = !next.Targets[i].Drain
		return &next, nil
	}))
}

// modelRecord measures the configuration's record, what a change of one target makes
// routers send, and what a router takes to read it and put it in force: whole, and after
// the one before.
func modelRecord(s *Slopes) {
	var plain, stored, whole, patched, changed, made, edited []Point
	for _, n := range modelSizes {
		x := float64(n)
		m := modelOf(services, n, hottestKeys)
		store := newModelStore(m)
		rec := store.record()
		plain = append(plain, Point{x, float64(len(must(config.Encode(m))))})
		stored = append(stored, Point{x, float64(len(rec.Value))})
		whole = append(whole, Point{x, float64(timed(5, 2, func() { readWhole(rec) }).Microseconds())})
		total := 0
		before := rec
		for i := range patchedTargets {
			before = store.record()
			store.drain(i * n / patchedTargets)
			total += patchPayload(before, store.record())
		}
		patched = append(patched, Point{x, float64(total) / patchedTargets})
		after := store.record()
		made = append(made, Point{x, float64(timed(5, 4, func() { patch.Make(before.Value, after.Value) }).Microseconds())})
		edited = append(edited, Point{x, float64(timed(5, 4, func() { store.drain(0) }).Microseconds())})
		changed = append(changed, Point{x, float64(timed(5, 4, reader(before, after)).Microseconds())})
	}
	const x = "targets in the model"
	s.add("model.target.size", x, "bytes of the encoded model", plain...)
	s.add("model.target.stored", x, "bytes of its record in the store, packed", stored...)
	s.add("model.target.cpu", x, "µs of CPU to read and compile a model whole", whole...)
	s.add("model.patch.size", x, "payload bytes of a change of one target, as a patch", patched...)
	s.add("model.patch.make.cpu", x, "µs of CPU to make the patch", made...)
	s.add("model.edit.cpu", x, "µs at the router that an operator asks for a change of one target, until it is stored", edited...)
	s.add("model.change.cpu", x, "µs of CPU to apply it, read what is new and compile what it touches", changed...)
}

func readWhole(rec kv.Record) {
	if _, problems := selector.Compile(must(confstore.Decode(rec)).Model); len(problems) > 0 {
		panic(problems)
	}
}

// patchPayload returns the size of the message that carries the change between routers.
func patchPayload(before, after kv.Record) int {
	bytes := patch.Make(before.Value, after.Value)
	m := spread.Message{Kind: spread.Patched, Root: vm(0, 0).Name, Patches: []spread.Patch{{
		Key: after.Key, Revision: uint64(after.Revision), Class: spread.Configuration,
		Base: uint64(before.Revision), Sum: patch.Sum(after.Value), Bytes: bytes,
	}}}
	return len(must(wire.EncodeSpread(&m)))
}

// reader returns what a router does with a change that comes as a patch.
func reader(before, after kv.Record) func() {
	state := must(confstore.DecodeAfter(nil, before))
	inForce, _ := selector.Compile(state.Model)
	bytes, sum := patch.Make(before.Value, after.Value), patch.Sum(after.Value)
	return func() {
		rec := after
		rec.Value = must(patch.Apply(before.Value, bytes, spread.DefaultConfig().MaxValue))
		if patch.Sum(rec.Value) != sum {
			panic("the patch gives something else")
		}
		if _, problems := selector.Recompile(inForce, must(confstore.DecodeAfter(state, rec)).Model); len(problems) > 0 {
			panic(problems)
		}
	}
}
