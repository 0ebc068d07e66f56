package gateway

import (
	"strconv"
	"sync"

	"tarragongw/core/keyspace"
)

// maxKeySamples bounds the keys that are kept between two calls of take.
const maxKeySamples = 4096

// keySamples collects the keys of requests.
type keySamples struct {
	mu   sync.Mutex
	keys []keyspace.Key
}

func (b *keySamples) add(k keyspace.Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.keys) < maxKeySamples {
		b.keys = append(b.keys, k)
	}
}

// take returns the keys collected since the last call.
func (b *keySamples) take() []keyspace.Key {
	b.mu.Lock()
	defer b.mu.Unlock()
	keys := b.keys
	b.keys = nil
	return keys
}

func parseKey(text string) (keyspace.Key, bool) {
	n, err := strconv.ParseUint(text, 10, 16)
	return keyspace.Key(n), err == nil
}
