// Package history keeps a router's measurements of the last hours in a ring of buckets, each
// for one step of time. Samples are counters since the start of the process; a bucket holds
// the increase between two samples. The memory is fixed by Config. The package does no I/O,
// has no clock, and is not safe for concurrent use. docs/METRICS.md says when time counts as
// unavailable, docs/design/reports.md why measurements are kept in memory.
package history

import "time"

// Config fixes the size of a Ring. A zero field takes its default.
type Config struct {
	// Step is the length of a bucket. Default 10 s.
	Step time.Duration
	// Buckets is the number of buckets that are kept. Default 720, which is two hours.
	Buckets int
	// Services is the number of services with rows of their own; all others share the row
	// with the name Other. Default 31.
	Services int
	// Classes are the names of the request classes.
	Classes []string
	// Bounds are the upper bounds of the latency counts, ascending; one further count is for
	// latencies above the last bound.
	Bounds []time.Duration
	// Causes are the names of the causes for which requests are refused or fail.
	Causes []string
}

const (
	defaultStep     = 10 * time.Second
	defaultBuckets  = 720
	defaultServices = 31
	// Other is the name of the row that services beyond Config.Services share.
	Other = "other"
)

func (c Config) withDefaults() Config {
	if c.Step <= 0 {
		c.Step = defaultStep
	}
	if c.Buckets <= 0 {
		c.Buckets = defaultBuckets
	}
	if c.Services <= 0 {
		c.Services = defaultServices
	}
	return c
}

// Sample holds a router's counters since its start and its current measurements.
type Sample struct {
	// Latency counts answered requests by class and bound.
	Latency [][]uint64
	// Refused counts by cause the requests that were refused as not run; Failed counts those
	// that ended with a fault and may have run.
	Refused []uint64
	Failed  []uint64
	// Services are in any order.
	Services []ServiceSample
}

// ServiceSample is the part of a Sample for one service.
type ServiceSample struct {
	Name string
	// Moved counts changes of a unit's owner.
	Moved uint64
	// Unavailable is the total over all units of the seconds during which they weren't served.
	Unavailable float64
	// Imbalance is the load of the busiest target divided by the mean; zero means that this
	// router doesn't know it.
	Imbalance float64
}

// Ring holds the latest buckets.
type Ring struct {
	cfg   Config
	slots []bucketSlot
	// next is the index of the next bucket in slots, and count the number of buckets.
	next, count int
	// names are the services that have a row of their own, by row index.
	names []string
	// firstSample is the time of the first sample; last is the latest sample, of the time lastAt.
	firstSample time.Time
	last        Sample
	lastAt      time.Time
}

// bucketSlot is the stored form of a bucket; its slices are parts of arrays that New allocates.
type bucketSlot struct {
	start    time.Time
	seconds  float32
	latency  []uint32
	refused  []uint32
	failed   []uint32
	services []serviceSlot
}

type serviceSlot struct {
	moved       uint32
	unavailable float32
	imbalance   float32
}

// New returns an empty ring. It allocates all memory of the ring except for the names of
// services.
func New(cfg Config) *Ring {
	cfg = cfg.withDefaults()
	r := &Ring{cfg: cfg, slots: make([]bucketSlot, cfg.Buckets)}
	latencies, causes, services := cfg.latencies(), len(cfg.Causes), cfg.Services+1
	counts := make([]uint32, cfg.Buckets*(latencies+2*causes))
	rows := make([]serviceSlot, cfg.Buckets*services)
	cut := func(n int) []uint32 {
		part := counts[:n:n]
		counts = counts[n:]
		return part
	}
	for i := range r.slots {
		s := &r.slots[i]
		s.latency, s.refused, s.failed = cut(latencies), cut(causes), cut(causes)
		s.services, rows = rows[:services:services], rows[services:]
	}
	return r
}

// latencies returns the number of latency counts of one bucket.
func (c *Config) latencies() int { return len(c.Classes) * (len(c.Bounds) + 1) }

// Bytes returns the memory that the buckets take in bytes, without the names of services.
func (r *Ring) Bytes() int {
	// The sizes in bytes of a count, a serviceSlot, and a bucketSlot without its arrays.
	const count, row, header = 4, 12, 128
	bucket := header + count*(r.cfg.latencies()+2*len(r.cfg.Causes)) + row*(r.cfg.Services+1)
	return bucket * r.cfg.Buckets
}

// Due reports whether the bucket that started at the last sample has ended at now. Buckets
// start at whole multiples of the step, so that the buckets of several routers are aligned.
func (r *Ring) Due(now time.Time) bool {
	return r.lastAt.IsZero() || !now.Truncate(r.cfg.Step).Equal(r.lastAt.Truncate(r.cfg.Step))
}

// Add stores a bucket with the changes since the last sample. The first sample only sets the
// values from which differences are taken. A bucket is longer than the step if a sample comes
// late, as after the process was suspended.
func (r *Ring) Add(now time.Time, s *Sample) {
	if r.lastAt.IsZero() {
		r.firstSample = now
		r.storeLast(now, s)
		return
	}
	slot := &r.slots[r.next]
	r.next = (r.next + 1) % len(r.slots)
	r.count = min(r.count+1, len(r.slots))
	slot.start, slot.seconds = r.lastAt, float32(now.Sub(r.lastAt).Seconds())
	for class := range r.cfg.Classes {
		width := len(r.cfg.Bounds) + 1
		storeDifferences(slot.latency[class*width:(class+1)*width], classCounts(s.Latency, class), classCounts(r.last.Latency, class))
	}
	storeDifferences(slot.refused, s.Refused, r.last.Refused)
	storeDifferences(slot.failed, s.Failed, r.last.Failed)
	r.storeServices(slot, s.Services)
	r.storeLast(now, s)
}

func classCounts(rows [][]uint64, i int) []uint64 {
	if i < len(rows) {
		return rows[i]
	}
	return nil
}

// storeDifferences sets counts to the increase from before to now.
func storeDifferences(counts []uint32, now, before []uint64) {
	for i := range counts {
		counts[i] = uint32(countAt(now, i) - countAt(before, i))
	}
}

func countAt(counts []uint64, i int) uint64 {
	if i < len(counts) {
		return counts[i]
	}
	return 0
}

func (r *Ring) storeServices(slot *bucketSlot, services []ServiceSample) {
	clear(slot.services)
	for i := range services {
		s := &services[i]
		before := r.lastServiceSample(s.Name)
		row := &slot.services[r.serviceRow(s.Name)]
		row.moved += uint32(s.Moved - before.Moved)
		row.unavailable += float32(s.Unavailable - before.Unavailable)
		row.imbalance = max(row.imbalance, float32(s.Imbalance))
	}
}

// lastServiceSample returns the service's part of the last sample.
func (r *Ring) lastServiceSample(name string) ServiceSample {
	for i := range r.last.Services {
		if r.last.Services[i].Name == name {
			return r.last.Services[i]
		}
	}
	return ServiceSample{}
}

// serviceRow returns the index of the service's row in each bucket. A service keeps its row;
// services that come when no row is left share the last one.
func (r *Ring) serviceRow(name string) int {
	for i, known := range r.names {
		if known == name {
			return i
		}
	}
	if len(r.names) == r.cfg.Services {
		return r.cfg.Services
	}
	r.names = append(r.names, name)
	return len(r.names) - 1
}

// storeLast copies the sample to r.last, because its slices belong to the caller of Add.
func (r *Ring) storeLast(now time.Time, s *Sample) {
	r.lastAt = now
	r.last.Refused = append(r.last.Refused[:0], s.Refused...)
	r.last.Failed = append(r.last.Failed[:0], s.Failed...)
	r.last.Services = append(r.last.Services[:0], s.Services...)
	for len(r.last.Latency) < len(s.Latency) {
		r.last.Latency = append(r.last.Latency, nil)
	}
	for i := range s.Latency {
		r.last.Latency[i] = append(r.last.Latency[i][:0], s.Latency[i]...)
	}
}
