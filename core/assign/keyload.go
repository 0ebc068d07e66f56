package assign

import (
	"math"
	"sort"
	"time"

	"tarragongw/core/keyspace"
)

const (
	// loadWindow is how long a request counts towards the load of its key: long enough to see
	// a few dozen requests of each of hundreds of targets.
	loadWindow = 8 * time.Second
	// recentWindow is the period in which a sudden change of a range's load is detected.
	recentWindow = 750 * time.Millisecond
	// minChangeDeviations is the number of standard deviations by which the requests of
	// recentWindow must differ from the whole window's for the load to count as changed. A
	// range that was chosen for its many recent requests has more of them by chance than its
	// load would give.
	minChangeDeviations = 2.0
	// maxSamples bounds the stored samples, 40 bytes each.
	maxSamples = 32768
	// uniformFraction is the fraction of the load that is assumed to be spread evenly over all
	// keys, so that a range without a recent request doesn't count as free of load.
	uniformFraction = 0.1
)

// sample is a number of requests for a key.
type sample struct {
	at       time.Time
	key      keyspace.Key
	requests float64
}

// LoadTracker counts the requests for each key within loadWindow. It is not safe for
// concurrent use.
type LoadTracker struct {
	samples []sample
	sorted  []sample
	// cumulative and recentCumulative are the numbers of requests before each entry of sorted:
	// of the whole window, and of recentWindow.
	cumulative, recentCumulative []float64
	// firstSampleAt is when the first request was seen, and window the time that the samples
	// cover.
	firstSampleAt time.Time
	window        time.Duration
	// sortedAt is the time for which the samples were last sorted.
	sortedAt time.Time
}

// NewLoadTracker returns an empty tracker.
func NewLoadTracker() *LoadTracker { return &LoadTracker{} }

// Add records n requests for the key.
func (l *LoadTracker) Add(now time.Time, key keyspace.Key, requests float64) {
	if l.firstSampleAt.IsZero() {
		l.firstSampleAt = now
	}
	if len(l.samples) >= maxSamples {
		l.firstSampleAt = l.samples[maxSamples/2].at
		l.samples = append(l.samples[:0], l.samples[maxSamples/2:]...)
	}
	l.samples = append(l.samples, sample{at: now, key: key, requests: requests})
}

// refresh drops samples older than loadWindow and sorts the rest by key.
func (l *LoadTracker) refresh(now time.Time) {
	if now.Equal(l.sortedAt) && len(l.sorted) == len(l.samples) {
		return
	}
	l.sortedAt = now
	l.window = min(max(now.Sub(l.firstSampleAt), recentWindow), loadWindow)
	first := sort.Search(len(l.samples), func(i int) bool { return now.Sub(l.samples[i].at) <= loadWindow })
	l.samples = append(l.samples[:0], l.samples[first:]...)
	l.sorted = append(l.sorted[:0], l.samples...)
	sort.Slice(l.sorted, func(i, j int) bool { return l.sorted[i].key < l.sorted[j].key })
	l.cumulative, l.recentCumulative = append(l.cumulative[:0], 0), append(l.recentCumulative[:0], 0)
	for i, s := range l.sorted {
		l.cumulative = append(l.cumulative, l.cumulative[i]+s.requests)
		recent := l.recentCumulative[i]
		if now.Sub(s.at) <= recentWindow {
			recent += s.requests
		}
		l.recentCumulative = append(l.recentCumulative, recent)
	}
}

func (l *LoadTracker) total() float64 { return l.cumulative[len(l.cumulative)-1] }

// index returns the number of samples for keys below k.
func (l *LoadTracker) index(k int) int {
	return sort.Search(len(l.sorted), func(i int) bool { return int(l.sorted[i].key) >= k })
}

// ratePerRequest is the requests per second that one counted request stands for.
func (l *LoadTracker) ratePerRequest() float64 { return 1 / l.window.Seconds() }

// rangeLoad returns the load of a range, in requests within the window, including its part of
// the uniform load.
func (l *LoadTracker) rangeLoad(from, to keyspace.Key) float64 {
	return l.loadBetween(l.index(int(from)), l.index(int(to)+1))*(1-uniformFraction) + l.uniformLoad(from, to)
}

// uniformLoad returns a range's part of the load that is assumed to be spread evenly over all
// keys.
func (l *LoadTracker) uniformLoad(from, to keyspace.Key) float64 {
	return (l.total()*uniformFraction + 1) * keyFraction(from, to)
}

// keyFraction returns the fraction of all keys that lies in the range.
func keyFraction(from, to keyspace.Key) float64 {
	return float64(int(to)-int(from)+1) / float64(int(keyspace.LastKey)+1)
}

// loadBetween returns the load of the sorted samples with an index from first up to, but not
// including, end. The load of the whole window is bounded by that of recentWindow, because the
// window alone would show that a key has become hot, or has ceased to be, only after most of
// the time for which it is.
func (l *LoadTracker) loadBetween(first, end int) float64 {
	observed := l.cumulative[end] - l.cumulative[first]
	recent := l.recentCumulative[end] - l.recentCumulative[first]
	recentPerWindow := l.window.Seconds() / recentWindow.Seconds()
	lowest := math.Max(recent-minChangeDeviations*math.Sqrt(recent), 0) * recentPerWindow
	highest := (recent + 1 + minChangeDeviations*math.Sqrt(recent+1)) * recentPerWindow
	return math.Min(math.Max(observed, lowest), highest)
}

// weight is the measure by which the load of a holder is divided among its ranges: the
// requests of the whole window and the recent ones, equally weighted, and a small uniform
// part.
func (l *LoadTracker) weight(from, to keyspace.Key) float64 {
	first, end := l.index(int(from)), l.index(int(to)+1)
	recent := (l.recentCumulative[end] - l.recentCumulative[first]) * (l.window.Seconds() / recentWindow.Seconds())
	return (l.cumulative[end]-l.cumulative[first]+recent)*(1-uniformFraction) + l.uniformLoad(from, to)
}

// densestRange returns the range with the fewest keys that has the weight and lies within the
// given range. It returns false if the whole range has less.
func (l *LoadTracker) densestRange(from, to keyspace.Key, weight float64) (keyspace.Key, keyspace.Key, bool) {
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

// unspreadable returns the load of single keys above maxLoad, the load that one target can
// carry. No assignment of the keys can spread it.
func (l *LoadTracker) unspreadable(maxLoad float64) float64 {
	excess := 0.0
	l.eachKey(func(_ keyspace.Key, load float64) { excess += math.Max(load-maxLoad, 0) })
	return excess
}

// eachKey calls f with the load of each key that has samples.
func (l *LoadTracker) eachKey(f func(key keyspace.Key, load float64)) {
	for first := 0; first < len(l.sorted); {
		end := first
		for end < len(l.sorted) && l.sorted[end].key == l.sorted[first].key {
			end++
		}
		f(l.sorted[first].key, l.loadBetween(first, end))
		first = end
	}
}
