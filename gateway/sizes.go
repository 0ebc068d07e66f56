package gateway

import (
	"net/http"
	"sync"
)

// sizeGain is the weight of a new sample in a route's mean sizes.
const sizeGain = 0.1

// sizes are the mean sizes of requests and answers by route, in bytes. Traffic to another data centre
// is paid for by the byte, and a chunked body doesn't announce its length.
type sizes struct {
	mu  sync.Mutex
	all map[string]*size
}

type size struct{ request, answer float64 }

// expect returns the expected size of the request's body and its answer's body together.
func (s *sizes) expect(route string, r *http.Request) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := s.meanOf(route)
	if r.ContentLength >= 0 {
		return r.ContentLength + int64(mean.answer)
	}
	return int64(mean.request + mean.answer)
}

// record adds the sizes of a request and its answer, if known, to the means.
func (s *sizes) record(route string, r *http.Request, answer *http.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := s.meanOf(route)
	if r.ContentLength > 0 {
		mean.request += (float64(r.ContentLength) - mean.request) * sizeGain
	}
	if answer.ContentLength > 0 {
		mean.answer += (float64(answer.ContentLength) - mean.answer) * sizeGain
	}
}

func (s *sizes) meanOf(route string) *size {
	mean := s.all[route]
	if mean == nil {
		mean = &size{}
		if s.all == nil {
			s.all = map[string]*size{}
		}
		s.all[route] = mean
	}
	return mean
}
