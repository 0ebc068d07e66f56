package spread

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"tarragongw/core/digest"
)

// record is a stored entry with the protocol's state for it.
type record struct {
	Entry
	hash uint64
	// relayed names the roots of the trees down which this revision was already sent.
	relayed []string
	// previous is the version that this one replaced. patch is the last patch that was
	// received or made for the record.
	previous version
	patch    Patch
}

// table holds the newest known revision of each key, with a digest for each group of keys.
type table struct {
	byKey  map[string]*record
	byHash map[uint64]*record
	groups []group
	sum    uint64
	max    uint64
	bytes  int
}

// group holds the keys of one digest, sorted by hash.
type group struct {
	sum  uint64
	keys []*record
}

func newTable(groups int) *table {
	return &table{byKey: map[string]*record{}, byHash: map[uint64]*record{}, groups: make([]group, groups)}
}

func (h *record) digest() uint64 { return digest.Mix(h.hash ^ digest.Mix(h.Revision)) }

func (t *table) groupOf(hash uint64) *group { return &t.groups[hash%uint64(len(t.groups))] }

// newer reports whether e is newer than the record held.
func (t *table) newer(e *Entry) bool {
	h := t.byKey[e.Key]
	return h == nil || e.Revision > h.Revision
}

// put stores an entry that is newer than the record held.
func (t *table) put(e Entry) *record {
	h := t.byKey[e.Key]
	if h == nil {
		h = t.add(e.Key)
	} else {
		t.toggleDigest(h)
		t.bytes -= h.size()
	}
	h.Entry = e
	h.relayed = nil
	t.toggleDigest(h)
	t.bytes += h.size()
	t.max = max(t.max, e.Revision)
	return h
}

func (t *table) add(key string) *record {
	h := &record{hash: xxhash.Sum64String(key)}
	t.byKey[key] = h
	t.byHash[h.hash] = h
	g := t.groupOf(h.hash)
	i, _ := slices.BinarySearchFunc(g.keys, h.hash, compareHash)
	g.keys = slices.Insert(g.keys, i, h)
	return h
}

func compareHash(h *record, hash uint64) int { return cmp.Compare(h.hash, hash) }

// toggleDigest adds h to the digests, or removes it if it is included.
func (t *table) toggleDigest(h *record) {
	d := h.digest()
	g := t.groupOf(h.hash)
	t.sum ^= digest.Mix(g.sum)
	g.sum ^= d
	t.sum ^= digest.Mix(g.sum)
}

// sums returns the digests of all groups.
func (t *table) sums() []uint64 {
	list := make([]uint64, len(t.groups))
	for i := range t.groups {
		list[i] = t.groups[i].sum
	}
	return list
}

// items returns the revisions in a group.
func (t *table) items(g uint32) []Item {
	list := make([]Item, 0, len(t.groups[g].keys))
	for _, h := range t.groups[g].keys {
		list = append(list, Item{Hash: h.hash, Revision: h.Revision})
	}
	return list
}

// sorted returns all records whose key is greater than after and has the prefix, in order of
// key.
func (t *table) sorted(after, prefix string) []*record {
	var list []*record
	for _, h := range t.byKey {
		if h.Key > after && strings.HasPrefix(h.Key, prefix) {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b *record) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// sortByUrgency sorts entries by class, then by revision and key.
func sortByUrgency(list []Entry) {
	slices.SortFunc(list, func(a, b Entry) int {
		if a.Class != b.Class {
			return cmp.Compare(a.Class, b.Class)
		}
		if a.Revision != b.Revision {
			return cmp.Compare(a.Revision, b.Revision)
		}
		return strings.Compare(a.Key, b.Key)
	})
}
