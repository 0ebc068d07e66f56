package spread

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"tarragongw/core/patch"
)

// version is an older value of a record.
type version struct {
	revision uint64
	value    []byte
}

// maxRequested bounds the keys in Core.requestedAt.
const maxRequested = 1024

// size is the size that counts towards the bounds on messages.
func (p *Patch) size() int { return len(p.Key) + len(p.Bytes) }

// patchable reports whether the record may be sent as a patch. Ownership records are never:
// they are small, and each is written separately.
func (c *Core) patchable(e *Entry) bool {
	return e.Class == Configuration && !e.Deleted && len(e.Value) >= c.cfg.MinPatchValue
}

// replacedVersion returns the version of a record to keep when e replaces it, or an empty
// version if the value is not to be kept.
func (c *Core) replacedVersion(e *Entry) version {
	h := c.table.byKey[e.Key]
	if h == nil || !c.patchable(&h.Entry) || !c.patchable(e) {
		return version{}
	}
	return version{h.Revision, h.Value}
}

// valueAt returns the record's value at a revision, or nil if it is no longer held.
//
// The current value alone is not enough: the watchers delay different changes of a burst, so
// that a router which got a change by one tree may get a patch against the previous revision
// by the other, and would request the full record.
func (h *record) valueAt(revision uint64) []byte {
	switch revision {
	case h.Revision:
		return h.Value
	case h.previous.revision:
		return h.previous.value
	}
	return nil
}

// flushPatches sends the records of an outbox that can be sent as patches and returns the size
// of the patches. Patches are few and small, so they are sent before full records.
func (c *Core) flushPatches(b *outbox) int {
	var patches []Patch
	b.entries = slices.DeleteFunc(b.entries, func(e Entry) bool {
		p, ok := c.patchOf(&e)
		if ok {
			patches = append(patches, p)
		}
		return ok
	})
	total := 0
	for len(patches) > 0 {
		n, size := chunk(patches, c.cfg.MaxMessage)
		for _, child := range c.children(b.root) {
			c.send(child, Message{Kind: Patched, Root: b.root, Patches: patches[:n:n]})
		}
		patches = patches[n:]
		total += size
	}
	return total
}

// patchOf returns a patch for a record: the one by which the record came, or one against the
// value that it replaced here, which the routers below most likely hold. It returns false, and
// the record is sent in full, if there is no replaced value or the patch is not smaller.
func (c *Core) patchOf(e *Entry) (Patch, bool) {
	h := c.table.byKey[e.Key]
	if h == nil || h.Revision != e.Revision || h.previous.value == nil {
		return Patch{}, false
	}
	if h.patch.Revision == e.Revision {
		return h.patch, true
	}
	p := Patch{Key: e.Key, Revision: e.Revision, Class: e.Class, Base: h.previous.revision}
	p.Sum, p.Bytes = patch.Sum(e.Value), patch.Make(h.previous.value, e.Value)
	if p.size() >= e.size() {
		return Patch{}, false
	}
	h.patch = p
	return p, true
}

// receivePatches merges records that came as patches and passes them on down the same tree. If
// a patch cannot be applied, the full record is requested, which is then passed on as any
// record that comes outside a tree.
func (c *Core) receivePatches(from string, m *Message) {
	var entries []Entry
	var want []uint64
	for i := range m.Patches {
		p := &m.Patches[i]
		e, ok := c.applyPatch(from, p)
		if ok {
			entries = append(entries, e)
		} else if hash := xxhash.Sum64String(p.Key); c.mayRequest(hash) {
			want = append(want, hash)
		}
	}
	if len(want) > 0 {
		c.send(from, Message{Kind: Want, Hashes: want})
	}
	c.keepPatches(m.Patches, c.merge(entries))
	c.relay(m.Root, entries)
}

// keepPatches keeps the patches by which newer records came, so that they are passed on
// unchanged.
func (c *Core) keepPatches(patches []Patch, newer []Entry) {
	for i := range newer {
		at := slices.IndexFunc(patches, func(p Patch) bool { return p.Key == newer[i].Key && p.Revision == newer[i].Revision })
		c.table.byKey[newer[i].Key].patch = patches[at]
	}
}

// applyPatch returns the record that a patch describes. A patch is applied only to its base,
// and the result must have its checksum. If the record's revision is not newer than the one
// held, the returned record has no value; it only names the revision to pass on.
func (c *Core) applyPatch(from string, p *Patch) (Entry, bool) {
	e := Entry{Key: p.Key, Revision: p.Revision, Class: p.Class}
	h := c.table.byKey[p.Key]
	if h != nil && h.Revision >= p.Revision {
		return e, true
	}
	var base []byte
	if h != nil && !h.Deleted {
		base = h.valueAt(p.Base)
	}
	if base == nil {
		c.actions = append(c.actions, PatchDropped{Key: p.Key, From: from})
		return e, false
	}
	value, err := patch.Apply(base, p.Bytes, c.cfg.MaxValue)
	if err != nil || patch.Sum(value) != p.Sum {
		c.actions = append(c.actions, PatchDropped{Key: p.Key, From: from, Invalid: true})
		return e, false
	}
	e.Value = value
	return e, true
}

// mayRequest limits requests for the same record to one per PropagationTime, because both
// trees bring the same patch.
func (c *Core) mayRequest(hash uint64) bool {
	if at, asked := c.requestedAt[hash]; asked && c.now.Sub(at) < c.cfg.PropagationTime {
		return false
	}
	if len(c.requestedAt) >= maxRequested {
		clear(c.requestedAt)
	}
	c.requestedAt[hash] = c.now
	return true
}

// sendFullRecords sends the full records, down the same tree, to a router that doesn't support
// patches.
func (c *Core) sendFullRecords(to string, m *Message) {
	var entries []Entry
	for i := range m.Patches {
		if h := c.table.byKey[m.Patches[i].Key]; h != nil {
			entries = append(entries, h.Entry)
		}
	}
	for len(entries) > 0 {
		n, _ := chunk(entries, c.cfg.MaxMessage)
		c.send(to, Message{Kind: Delta, Root: m.Root, Entries: entries[:n:n]})
		entries = entries[n:]
	}
}
