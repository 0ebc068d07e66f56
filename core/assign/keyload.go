package assign

import (
	"math"
	"sort"
	"time"

	"tarragongw/core/keyspace"
)

const (
	// loadMemory is how long a request counts for its key's load: long enough for some
	// hundred requests of a busy service to be seen.
	loadMemory = 3 * time.Second
	// recentMemory is the span over which a sudden rise of a range's load is looked for.
	recentMemory = 600 * time.Millisecond
	// riseDeviations is by how many standard deviations the requests of recentMemory must
	// exceed what they are taken for: a range that was chosen for its many recent requests
	// has more of them by chance than the load behind them.
	riseDeviations = 2.0
	// maxSamples bounds the requests that are remembered, 24 bytes each.
	maxSamples = 32768
	// evenShare is the part of the load that is taken to lie evenly on all keys, so that
	// ranges without a recent request are not taken to cost nothing.
	evenShare = 0.1
)

// sample is a number of requests for a key.
type sample struct {
	at  time.Time
	key keyspace.Key
	n   float64
}

// LoadTracker knows how many requests came for which keys within loadMemory. It is not safe
// for concurrent use.
type LoadTracker struct {
	samples []sample
	sorted  []sample
	// sums and recent are the requests before each entry of sorted: all, and those within
	// recentMemory.
	sums, recent []float64
}

// NewLoadTracker returns a tracker without any request.
func NewLoadTracker() *LoadTracker { return &LoadTracker{} }

// Add notes n requests for the key.
func (l *LoadTracker) Add(now time.Time, key keyspace.Key, n float64) {
	if len(l.samples) >= maxSamples {
		l.samples = append(l.samples[:0], l.samples[maxSamples/2:]...)
	}
	l.samples = append(l.samples, sample{at: now, key: key, n: n})
}

// expire forgets what is old and sorts the rest for a plan.
func (l *LoadTracker) expire(now time.Time) {
	first := sort.Search(len(l.samples), func(i int) bool { return now.Sub(l.samples[i].at) <= loadMemory })
	l.samples = append(l.samples[:0], l.samples[first:]...)
	l.sorted = append(l.sorted[:0], l.samples...)
	sort.Slice(l.sorted, func(i, j int) bool { return l.sorted[i].key < l.sorted[j].key })
	l.sums, l.recent = append(l.sums[:0], 0), append(l.recent[:0], 0)
	for i, s := range l.sorted {
		l.sums = append(l.sums, l.sums[i]+s.n)
		recent := l.recent[i]
		if now.Sub(s.at) <= recentMemory {
			recent += s.n
		}
		l.recent = append(l.recent, recent)
	}
}

func (l *LoadTracker) total() float64 { return l.sums[len(l.sums)-1] }

// index is the number of samples for keys below k.
func (l *LoadTracker) index(k int) int {
	return sort.Search(len(l.sorted), func(i int) bool { return int(l.sorted[i].key) >= k })
}

// of is the load of a range in requests within loadMemory, with its even share.
func (l *LoadTracker) of(from, to keyspace.Key) float64 {
	first, end := l.index(int(from)), l.index(int(to)+1)
	keys := float64(int(to)-int(from)+1) / float64(int(keyspace.LastKey)+1)
	return l.between(first, end)*(1-evenShare) + (l.total()*evenShare+1)*keys
}

// between is the load of the samples from the first up to the one before the end. It
// answers keys that become hot: the requests of a whole loadMemory tell of them only after
// most of the time for which they are.
func (l *LoadTracker) between(first, end int) float64 {
	n := l.sums[end] - l.sums[first]
	recent := l.recent[end] - l.recent[first]
	sure := math.Max(recent-riseDeviations*math.Sqrt(recent), 0)
	return math.Max(n, sure*(loadMemory.Seconds()/recentMemory.Seconds()))
}

// cut returns the last key of the shortest range from the first key on that has the load,
// or the last key of the whole range.
func (l *LoadTracker) cut(from, to keyspace.Key, load float64) keyspace.Key {
	n := sort.Search(int(to)-int(from), func(i int) bool {
		return l.of(from, from+keyspace.Key(i)) >= load
	})
	return from + keyspace.Key(n)
}

// cutBack returns the first key of the shortest range up to the last key that has the
// load, or the first key of the whole range.
func (l *LoadTracker) cutBack(from, to keyspace.Key, load float64) keyspace.Key {
	n := sort.Search(int(to)-int(from), func(i int) bool {
		return l.of(to-keyspace.Key(i), to) >= load
	})
	return to - keyspace.Key(n)
}

// tightest returns the range within the given one that has the load on the fewest keys;
// false where the whole range doesn't have it.
func (l *LoadTracker) tightest(from, to keyspace.Key, load float64) (keyspace.Key, keyspace.Key, bool) {
	first, end := l.index(int(from)), l.index(int(to)+1)
	best, found := int(keyspace.LastKey)+2, false
	var bestFrom, bestTo keyspace.Key
	right := first
	for left := first; left < end; left++ {
		for right < end && l.between(left, right) < load {
			right++
		}
		if l.between(left, right) < load {
			break
		}
		if keys := int(l.sorted[right-1].key) - int(l.sorted[left].key) + 1; keys < best {
			best, bestFrom, bestTo, found = keys, l.sorted[left].key, l.sorted[right-1].key, true
		}
	}
	return bestFrom, bestTo, found
}

// beyond is the part of the load that single keys have above the most that one target can
// take: no division of the keys can spread it.
func (l *LoadTracker) beyond(most float64) float64 {
	excess := 0.0
	for first := 0; first < len(l.sorted); {
		end := first
		for end < len(l.sorted) && l.sorted[end].key == l.sorted[first].key {
			end++
		}
		excess += math.Max(l.between(first, end)-most, 0)
		first = end
	}
	return excess
}
