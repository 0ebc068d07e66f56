package ownership

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"tarragongw/core/ownership/ownershippb"
	"tarragongw/core/rendezvous"
	"tarragongw/core/routing"
)

// Sizes of the records.
const (
	// ShardSlots is the number of hash slots in one record. Even if every slot is a run of
	// its own, a record stays below 64 KB.
	ShardSlots = 2048
	// RangeBuckets is the number of records that hold a service's key ranges.
	RangeBuckets = 16
	// maxOps bounds the number of writers remembered in a record.
	maxOps = 32
)

// Prefixes of the store keys.
const (
	GrantorPrefix = "own/grantor/"
	SlotPrefix    = "own/slots/"
	RangePrefix   = "own/ranges/"
)

// GrantorKey returns the store key of a target's grantor record.
func GrantorKey(dataCentre, target string) string { return GrantorPrefix + dataCentre + "/" + target }

// SlotKey returns the store key of the record that holds the slot.
func SlotKey(service string, slot uint32) string {
	return SlotPrefix + service + "/" + strconv.FormatUint(uint64(slot/ShardSlots), 10)
}

// RangeKey returns the store key of the record that holds the key range.
func RangeKey(service, name string) string {
	return RangePrefix + service + "/" + strconv.FormatUint(uint64(rangeBucket(name)), 10)
}

// UnitKey returns the store key of the record that holds the unit.
func UnitKey(u routing.Unit) string {
	if u.Kind == routing.RangeUnit {
		return RangeKey(u.Service, u.Range)
	}
	return SlotKey(u.Service, u.Slot)
}

func rangeBucket(name string) uint32 { return uint32(rendezvous.Weight(name, "") % RangeBuckets) }

// Router is one instance of a router.
type Router struct {
	Name        string
	Incarnation uint64
}

// Op identifies one write. It is kept in the record so that the outcome of a write whose
// reply was lost can be determined by reading the record.
type Op struct {
	Router   Router
	Sequence uint64
}

// Ops are the latest operations of a record's writers, the most recent one last.
type Ops []Op

// Landed reports whether the write took effect. It is exact as long as the writer has at
// most one write of the record outstanding and is among the last 32 writers.
func (o Ops) Landed(op Op) bool {
	for _, e := range o {
		if e.Router == op.Router {
			return e.Sequence >= op.Sequence
		}
	}
	return false
}

// with returns a copy in which op is the latest operation of its writer.
func (o Ops) with(op Op) Ops {
	out := make(Ops, 0, len(o)+1)
	for _, e := range o {
		if e.Router.Name != op.Router.Name {
			out = append(out, e)
		}
	}
	out = append(out, op)
	if len(out) > maxOps {
		out = out[len(out)-maxOps:]
	}
	return out
}

// GrantorRecord names the one router that may send to a target.
type GrantorRecord struct {
	Target string
	// Term is the epoch of the record in the store times TermPlaces plus the place of
	// the successor that acts without the store; it grows with each change of grantor.
	Term   uint64
	Router Router
	// Successors may take over in this order; only the first one gives promises.
	Successors []Router
	// DataCentre is the data centre of Router, if it is not the target's own.
	DataCentre string
	// YieldAfter bounds how long the grantor and its first successor continue after the last
	// confirmation by the store; zero means that nothing bounds it. See yieldAfter.
	YieldAfter time.Duration
	// Unproved means that Router has not yet proved that all grantors before it have
	// stopped; see oldAuthority.
	Unproved bool
	// Formers are earlier grantors that may still send the rest of requests.
	Formers []Former
	Ops     Ops
}

// TermPlaces is how many terms one epoch of a record reserves: place 0 is the grantor's
// own, place i is that of its i-th successor.
const TermPlaces = 8

// nextEpoch returns the first term of the next epoch.
func nextEpoch(term uint64) uint64 { return (term/TermPlaces + 1) * TermPlaces }

// UnitState is the ownership of one unit as stored in its record.
type UnitState struct {
	Target string
	Token  uint64
	// Releasing means that Target takes no new work; Next is the next owner of the unit.
	Releasing bool
	Next      string
}

// Shard is one decoded ownership record: either slots or ranges.
type Shard struct {
	Service string
	Kind    routing.UnitKind
	// Index is the number of the slot record or the bucket of the range record.
	Index uint32
	// Slots holds the state of slot Index*ShardSlots+i at i.
	Slots []UnitState
	// Names and Ranges run in parallel, sorted by name.
	Names  []string
	Ranges []UnitState
	Ops    Ops
}

// Key returns the store key of the record.
func (s *Shard) Key() string {
	n := strconv.FormatUint(uint64(s.Index), 10)
	if s.Kind == routing.RangeUnit {
		return RangePrefix + s.Service + "/" + n
	}
	return SlotPrefix + s.Service + "/" + n
}

// at returns a pointer to the state of the unit so that it can be modified, or nil.
func (s *Shard) at(u routing.Unit) *UnitState {
	if u.Service != s.Service || u.Kind != s.Kind {
		return nil
	}
	if u.Kind == routing.SlotUnit {
		i := int64(u.Slot) - int64(s.Index)*ShardSlots
		if i < 0 || i >= int64(len(s.Slots)) {
			return nil
		}
		return &s.Slots[i]
	}
	i := sort.SearchStrings(s.Names, u.Range)
	if i == len(s.Names) || s.Names[i] != u.Range {
		return nil
	}
	return &s.Ranges[i]
}

// Each calls f for each unit in order.
func (s *Shard) Each(f func(routing.Unit, UnitState)) {
	for i, st := range s.Slots {
		f(routing.Unit{Service: s.Service, Slot: s.Index*ShardSlots + uint32(i)}, st)
	}
	for i, st := range s.Ranges {
		f(routing.Unit{Service: s.Service, Kind: routing.RangeUnit, Range: s.Names[i]}, st)
	}
}

// targetIndex numbers target names from one, in order of first use.
type targetIndex struct {
	names []string
	index map[string]uint32
}

func (d *targetIndex) add(name string) uint32 {
	if name == "" {
		return 0
	}
	if i, ok := d.index[name]; ok {
		return i
	}
	d.names = append(d.names, name)
	if d.index == nil {
		d.index = map[string]uint32{}
	}
	d.index[name] = uint32(len(d.names))
	return uint32(len(d.names))
}

var errDictionary = errors.New("ownership: record refers to a target that it does not list")

func nameAt(names []string, i uint32) (string, error) {
	if i == 0 {
		return "", nil
	}
	if int(i) > len(names) {
		return "", errDictionary
	}
	return names[i-1], nil
}

func encodeOps(ops Ops) []*ownershippb.Op {
	out := make([]*ownershippb.Op, 0, len(ops))
	for _, o := range ops {
		out = append(out, &ownershippb.Op{Router: o.Router.Name, Incarnation: o.Router.Incarnation, Sequence: o.Sequence})
	}
	return out
}

func decodeOps(ops []*ownershippb.Op) Ops {
	out := make(Ops, 0, len(ops))
	for _, o := range ops {
		out = append(out, Op{Router: Router{o.GetRouter(), o.GetIncarnation()}, Sequence: o.GetSequence()})
	}
	return out
}

func marshal(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // only for invalid UTF-8 in a name, which the model rejects
	}
	return b
}

func encodeRouter(r Router) *ownershippb.Router {
	return &ownershippb.Router{Name: r.Name, Incarnation: r.Incarnation}
}

func decodeRouter(r *ownershippb.Router) Router {
	return Router{Name: r.GetName(), Incarnation: r.GetIncarnation()}
}

// Encode returns the encoded record.
func (g *GrantorRecord) Encode() []byte {
	m := &ownershippb.GrantorRecord{Target: g.Target, Term: g.Term, Router: encodeRouter(g.Router), Ops: encodeOps(g.Ops),
		DataCentre: g.DataCentre, YieldAfterNs: int64(g.YieldAfter), Unproved: g.Unproved}
	for _, s := range g.Successors {
		m.Successors = append(m.Successors, encodeRouter(s))
	}
	for _, f := range g.Formers {
		m.Formers = append(m.Formers, &ownershippb.Former{Router: encodeRouter(f.Router), Units: encodeUnitSet(f.Units), Revoked: f.Revoked})
	}
	return marshal(m)
}

// DecodeGrantor decodes a grantor record.
func DecodeGrantor(b []byte) (*GrantorRecord, error) {
	var m ownershippb.GrantorRecord
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, errors.Wrap(err, "ownership: grantor record")
	}
	g := &GrantorRecord{Target: m.GetTarget(), Term: m.GetTerm(), Router: decodeRouter(m.GetRouter()), Ops: decodeOps(m.GetOps()),
		DataCentre: m.GetDataCentre(), YieldAfter: time.Duration(m.GetYieldAfterNs()), Unproved: m.GetUnproved()}
	for _, s := range m.GetSuccessors() {
		g.Successors = append(g.Successors, decodeRouter(s))
	}
	for _, f := range m.GetFormers() {
		g.Formers = append(g.Formers, Former{Router: decodeRouter(f.GetRouter()), Units: decodeUnitSet(f.GetUnits()), Revoked: f.GetRevoked()})
	}
	return g, nil
}

// IsShardKey reports whether the store key is that of an ownership record.
func IsShardKey(key string) bool {
	return strings.HasPrefix(key, SlotPrefix) || strings.HasPrefix(key, RangePrefix)
}

// IsGrantorKey reports whether the store key is that of a grantor record.
func IsGrantorKey(key string) bool { return strings.HasPrefix(key, GrantorPrefix) }
