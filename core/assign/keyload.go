package assign

import (
	"math"
	"sort"
	"time"

	"tarragongw/core/keyspace"
)

const (
	// loadMemory is how long a request counts for its key's load: long enough for some dozen
	// requests of each of hundreds of targets to be seen.
	loadMemory = 8 * time.Second
	// recentMemory is the span over which a sudden change of a range's load is looked for.
	recentMemory = 750 * time.Millisecond
	// changeDeviations is by how many standard deviations the requests of recentMemory must
	// differ for the load to be taken for changed: a range that was chosen for its many
	// recent requests has more of them by chance than the load behind them.
	changeDeviations = 2.0
	// maxSamples bounds the requests that are remembered, 40 bytes each.
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
	// since is when the first request was seen, and span the time that the samples cover.
	since time.Time
	span  time.Duration
	// sortedAt is when the plan was made that the samples were sorted for.
	sortedAt time.Time
}

// NewLoadTracker returns a tracker without any request.
func NewLoadTracker() *LoadTracker { return &LoadTracker{} }

// Add notes n requests for the key.
func (l *LoadTracker) Add(now time.Time, key keyspace.Key, n float64) {
	if l.since.IsZero() {
		l.since = now
	}
	if len(l.samples) >= maxSamples {
		l.since = l.samples[maxSamples/2].at
		l.samples = append(l.samples[:0], l.samples[maxSamples/2:]...)
	}
	l.samples = append(l.samples, sample{at: now, key: key, n: n})
}

// expire forgets what is old and sorts the rest for a plan.
func (l *LoadTracker) expire(now time.Time) {
	if now.Equal(l.sortedAt) && len(l.sorted) == len(l.samples) {
		return
	}
	l.sortedAt = now
	l.span = min(max(now.Sub(l.since), recentMemory), loadMemory)
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

// rate is the requests a second that one sample stands for.
func (l *LoadTracker) rate() float64 { return 1 / l.span.Seconds() }

// of is the load of a range in requests within the span, with its even share.
func (l *LoadTracker) of(from, to keyspace.Key) float64 {
	return l.between(l.index(int(from)), l.index(int(to)+1))*(1-evenShare) + l.even(from, to)
}

// even is the share of a range in the load that is taken to lie evenly on all keys.
func (l *LoadTracker) even(from, to keyspace.Key) float64 {
	return (l.total()*evenShare + 1) * partOf(from, to)
}

// partOf is a range's part of all keys.
func partOf(from, to keyspace.Key) float64 {
	return float64(int(to)-int(from)+1) / float64(int(keyspace.LastKey)+1)
}

// between is the load of the samples from the first up to the one before the end. It
// answers keys that become hot, or cease to be: the requests of a whole loadMemory tell of
// that only after most of the time for which they are.
func (l *LoadTracker) between(first, end int) float64 {
	n := l.sums[end] - l.sums[first]
	recent := l.recent[end] - l.recent[first]
	whole := l.span.Seconds() / recentMemory.Seconds()
	least := math.Max(recent-changeDeviations*math.Sqrt(recent), 0) * whole
	most := (recent + 1 + changeDeviations*math.Sqrt(recent+1)) * whole
	return math.Min(math.Max(n, least), most)
}

// weight says how the load of a range lies on its parts: by all requests and by the recent
// ones alike, and to a small part evenly.
func (l *LoadTracker) weight(from, to keyspace.Key) float64 {
	first, end := l.index(int(from)), l.index(int(to)+1)
	recent := (l.recent[end] - l.recent[first]) * (l.span.Seconds() / recentMemory.Seconds())
	return (l.sums[end]-l.sums[first]+recent)*(1-evenShare) + l.even(from, to)
}

// tightest returns the range within the given one that has the weight on the fewest keys;
// false where the whole range doesn't have it.
func (l *LoadTracker) tightest(from, to keyspace.Key, weight float64) (keyspace.Key, keyspace.Key, bool) {
	first, end := l.index(int(from)), l.index(int(to)+1)
	best, found := int(keyspace.LastKey)+2, false
	var bestFrom, bestTo keyspace.Key
	for left, right := first, first; left < end; left++ {
		right = max(right, left)
		for right < end && l.weight(l.sorted[left].key, l.sorted[right].key) < weight {
			right++
		}
		if right == end {
			break
		}
		if keys := int(l.sorted[right].key) - int(l.sorted[left].key) + 1; keys < best {
			best, bestFrom, bestTo, found = keys, l.sorted[left].key, l.sorted[right].key, true
		}
	}
	return bestFrom, bestTo, found
}

// beyond is the part of the load that single keys have above the most that one target can
// take: no division of the keys can spread it.
func (l *LoadTracker) beyond(most float64) float64 {
	excess := 0.0
	l.eachKey(func(_ keyspace.Key, load float64) { excess += math.Max(load-most, 0) })
	return excess
}

// eachKey calls f with the load of each key that was asked for.
func (l *LoadTracker) eachKey(f func(key keyspace.Key, load float64)) {
	for first := 0; first < len(l.sorted); {
		end := first
		for end < len(l.sorted) && l.sorted[end].key == l.sorted[first].key {
			end++
		}
		f(l.sorted[first].key, l.between(first, end))
		first = end
	}
}
