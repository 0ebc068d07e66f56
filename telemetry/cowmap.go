package telemetry

import (
	"sync"
	"sync/atomic"
)

// cowMap is a small copy-on-write map: it is read without a lock and copied for each
// entry that is added. Entries are never removed, so the caller of getOrAdd must bound
// the number of entries. It is used instead of a sync.Map because that allocates an
// interface value for a struct or string key at each lookup.
type cowMap[K comparable, V any] struct {
	current atomic.Pointer[map[K]V]
	mu      sync.Mutex
}

// get returns the value of the key and whether there is one.
func (m *cowMap[K, V]) get(key K) (V, bool) {
	current := m.current.Load()
	if current == nil {
		var zero V
		return zero, false
	}
	value, ok := (*current)[key]
	return value, ok
}

// getOrAdd returns the value of the key. If there is none, it adds the one that create
// returns, unless the map already holds limit entries: then it returns false.
func (m *cowMap[K, V]) getOrAdd(key K, limit int, create func() V) (V, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if value, ok := m.get(key); ok {
		return value, true
	}
	var old map[K]V
	if current := m.current.Load(); current != nil {
		old = *current
	}
	if len(old) >= limit {
		var zero V
		return zero, false
	}
	next := cloneMap(old)
	value := create()
	next[key] = value
	m.current.Store(&next)
	return value, true
}

func cloneMap[K comparable, V any](old map[K]V) map[K]V {
	next := make(map[K]V, len(old)+1)
	for key, value := range old {
		next[key] = value
	}
	return next
}

// len returns the number of entries.
func (m *cowMap[K, V]) len() int {
	if current := m.current.Load(); current != nil {
		return len(*current)
	}
	return 0
}
