package gateway

import (
	"net/http"
	"sync"
)

// sizeGain is the weight of a request in the mean size of its route's.
const sizeGain = 0.1

// sizes are the mean sizes of requests and answers by route, in bytes. What goes to another
// data centre is paid for by the byte, and a body in chunks doesn't say how long it is.
type sizes struct {
	mu  sync.Mutex
	all map[string]*size
}

type size struct{ request, answer float64 }

// expect returns the size of the request's body and of its answer's that is to be expected.
func (s *sizes) expect(route string, r *http.Request) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := s.meanOf(route)
	if r.ContentLength >= 0 {
		return r.ContentLength + int64(mean.answer)
	}
	return int64(mean.request + mean.answer)
}

// note remembers the sizes that are known.
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
	of := s.all[route]
	if of == nil {
		of = &size{}
		if s.all == nil {
			s.all = map[string]*size{}
		}
		s.all[route] = of
	}
	return of
}
