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

func (s *keySamples) add(k keyspace.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.keys) < maxKeySamples {
		s.keys = append(s.keys, k)
	}
}

// take returns the keys collected since the last call.
func (s *keySamples) take() []keyspace.Key {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := s.keys
	s.keys = nil
	return keys
}

func parseKey(text string) (keyspace.Key, bool) {
	n, err := strconv.ParseUint(text, 10, 16)
	return keyspace.Key(n), err == nil
}
