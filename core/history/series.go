package history

import "time"

// Series is the content of a ring, in a form that can be sent and merged. The operators'
// endpoints return its JSON.
type Series struct {
	// Step is the usual length of a bucket.
	Step time.Duration `json:"step_ns"`
	// Began is the time of the router's first sample; the router has no data from before.
	Began   time.Time       `json:"began"`
	Classes []string        `json:"classes"`
	Bounds  []time.Duration `json:"bounds_ns"`
	// Buckets are oldest first.
	Buckets []Bucket `json:"buckets"`
}

// Bucket holds the measurements of one interval.
type Bucket struct {
	Start   time.Time `json:"start"`
	Seconds float64   `json:"seconds"`
	// Latency counts answered requests by class and bound, in the order of Series.Classes and
	// Series.Bounds; nil if there were none.
	Latency [][]uint32 `json:"latency,omitempty"`
	// Refused counts requests that were refused as not run; Failed counts those that ended
	// with a fault and may have run.
	Refused []Count `json:"refused,omitempty"`
	Failed  []Count `json:"failed,omitempty"`
	// Services are the services with a nonzero value.
	Services []ServiceBucket `json:"services,omitempty"`
}

// Count is the number of requests with one cause.
type Count struct {
	Cause string `json:"cause"`
	N     uint64 `json:"n"`
}

// ServiceBucket is the part of a Bucket for one service; for the units see ServiceSample.
type ServiceBucket struct {
	Name        string  `json:"name"`
	Moved       uint64  `json:"moved,omitempty"`
	Unavailable float64 `json:"unavailable,omitempty"`
	Imbalance   float64 `json:"imbalance,omitempty"`
}

// Since returns the buckets that ended after since.
func (r *Ring) Since(since time.Time) Series {
	out := Series{Step: r.cfg.Step, Began: r.firstSample, Classes: r.cfg.Classes, Bounds: r.cfg.Bounds, Buckets: []Bucket{}}
	for i := range r.count {
		s := &r.slots[(r.next-r.count+i+len(r.slots))%len(r.slots)]
		if end := s.start.Add(seconds(float64(s.seconds))); !end.After(since) {
			continue
		}
		out.Buckets = append(out.Buckets, r.bucket(s))
	}
	return out
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

func (r *Ring) bucket(s *bucketSlot) Bucket {
	b := Bucket{Start: s.start, Seconds: float64(s.seconds)}
	b.Latency = r.latency(s)
	b.Refused, b.Failed = r.counts(s.refused), r.counts(s.failed)
	for i, row := range s.services {
		if row == (serviceSlot{}) {
			continue
		}
		b.Services = append(b.Services, ServiceBucket{
			Name: r.name(i), Moved: uint64(row.moved), Unavailable: float64(row.unavailable), Imbalance: float64(row.imbalance),
		})
	}
	return b
}

func (r *Ring) name(i int) string {
	if i < len(r.names) {
		return r.names[i]
	}
	return Other
}

func (r *Ring) latency(s *bucketSlot) [][]uint32 {
	var combined uint32
	for _, n := range s.latency {
		combined |= n
	}
	if combined == 0 {
		return nil
	}
	width := len(r.cfg.Bounds) + 1
	out := make([][]uint32, len(r.cfg.Classes))
	for class := range out {
		out[class] = append([]uint32(nil), s.latency[class*width:(class+1)*width]...)
	}
	return out
}

func (r *Ring) counts(counts []uint32) []Count {
	var out []Count
	for i, n := range counts {
		if n > 0 {
			out = append(out, Count{Cause: r.cfg.Causes[i], N: uint64(n)})
		}
	}
	return out
}

// Quantile returns the q-quantile of the latencies, with linear interpolation between bounds,
// or zero if there are no counts. For a latency above the last bound it returns that bound.
func Quantile(bounds []time.Duration, counts []uint64, q float64) time.Duration {
	var total uint64
	for _, n := range counts {
		total += n
	}
	if total == 0 || len(bounds) == 0 {
		return 0
	}
	rank := q * float64(total)
	var below float64
	for i, n := range counts {
		if n > 0 && below+float64(n) >= rank {
			return interpolate(bounds, i, (rank-below)/float64(n))
		}
		below += float64(n)
	}
	return bounds[len(bounds)-1]
}

// interpolate returns the point at the given share of the interval that ends at bounds[i].
func interpolate(bounds []time.Duration, i int, share float64) time.Duration {
	if i >= len(bounds) {
		return bounds[len(bounds)-1]
	}
	var low time.Duration
	if i > 0 {
		low = bounds[i-1]
	}
	return low + time.Duration(share*float64(bounds[i]-low))
}
