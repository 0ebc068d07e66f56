package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"tarragongw/platform"
	"tarragongw/platform/platformtest"
)

// Hosts and services of the cases about routes.
const (
	shopHost    = "jepu9.example"
	payHost     = "hulo84.example"
	lookService = "huvo11a"
	payService  = "wuno96b"
)

// routesConfig returns a configuration: on shopHost the prefix of the route added and, if root is set, all other paths to
// lookService; on payHost only the prefix.
func routesConfig(version int, prefix string, withAdded bool) []byte {
	routes := []string{
		fmt.Sprintf(`{"name":"r-root","host":%q,"prefix":"/","route_type":"safe","timeout":"1200ms","target_latency":"400ms","priority":2,"service":%q,"max_attempts":2}`, shopHost, lookService),
		fmt.Sprintf(`{"name":"r-other","host":%q,"prefix":"/other/","route_type":"safe","timeout":"1200ms","target_latency":"400ms","priority":2,"service":%q,"max_attempts":2}`, payHost, lookService),
	}
	if withAdded {
		for i, host := range []string{shopHost, payHost} {
			routes = append(routes, fmt.Sprintf(`{"name":"r-added-%d","host":%q,"prefix":%q,"route_type":"unsafe","timeout":"1500ms","target_latency":"500ms","priority":1,"service":%q,"max_attempts":2}`,
				i, host, prefix, payService))
		}
	}
	return []byte(fmt.Sprintf(`{"version":"%08x","routes":[%s],"services":[`+
		`{"name":%q,"health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false},`+
		`{"name":%q,"health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`,
		version, strings.Join(routes, ","), lookService, payService))
}

// routingTargets starts three targets of each service.
func (s *system) routingTargets() (targets []*platformtest.Target) {
	for i, zone := range []string{"mandaue", "lapu", "talisay"} {
		for _, service := range []string{lookService, payService} {
			t := platformtest.NewTarget(fmt.Sprintf("i-%s-%d", service, i), service, zone, false)
			t.SetServiceTime(5 * time.Millisecond)
			t.Register(s.store)
			targets = append(targets, t)
		}
	}
	return targets
}

// ranBy returns the services whose targets have run a request, and the ids and paths under which they did.
func ranBy(targets []*platformtest.Target, matches func(run *platformtest.Run) bool) (services, what []string) {
	for _, t := range targets {
		for _, run := range t.Runs() {
			if matches(&run) {
				services = append(services, t.Service)
				what = append(what, run.Method+" "+run.URI+" id="+run.ID)
			}
		}
	}
	return services, what
}

// expected is a request with the service that may run it; empty if no route begins its path.
type expected struct {
	method, host, path, service string
}

// runRoutes sends requests through all routers, and reports those that were run by another service than the one that the
// configurations allow, or refused with 404 though their route is there.
func (s *system) runRoutes(targets []*platformtest.Target, all []expected) (wrong int) {
	for _, e := range all {
		for _, r := range s.routers {
			q := &request{method: e.method, host: e.host, path: e.path, id: s.newID(), deadline: 3 * time.Second, body: []byte("x")}
			a := s.send(r, q)
			services, _ := ranBy(targets, func(run *platformtest.Run) bool { return run.ID == q.id })
			switch {
			case len(services) > 0 && services[0] != e.service:
				wrong++
				s.note("ROUTE broken: %s %s%s was run by %v; the routes allow %q", e.method, e.host, e.path, services, e.service)
			case a.status == http.StatusNotFound && e.service != "":
				wrong++
				s.note("CONFIG broken: %s %s%s was refused with 404; its route goes to %q", e.method, e.host, e.path, e.service)
			default:
				s.note("as allowed: %s %s%s was run by %v; the routes allow %q", e.method, e.host, e.path, services, e.service)
			}
		}
	}
	return wrong
}

// runRouteCase runs a case about routes: requests in a configuration that has added a route with a prefix.
func (s *system) runRouteCase(prefix string, all []expected) (int, error) {
	targets := s.routingTargets()
	done := make(chan struct{})
	defer close(done)
	go s.beat(done, targets...)
	s.store.Put(platform.ConfigKey, routesConfig(7, prefix, false))
	if err := s.startRouters("mandaue", "lapu", "talisay"); err != nil {
		return failure, err
	}
	s.store.Put(platform.ConfigKey, routesConfig(12, prefix, true))
	s.note("configuration 0000000c acknowledged: the routes with prefix %s are added", prefix)
	time.Sleep(configApply + time.Second)
	if s.runRoutes(targets, all) > 0 {
		return broken, nil
	}
	return held, nil
}

// lostShare is how many of the requests that it runs a disturbed target leaves without an answer; half of the targets are disturbed.
const lostShare = 0.05

// lostRuns are the runs of the targets that reset the connection in place of an answer.
type lostRuns struct {
	mu  sync.Mutex
	all []platformtest.Run
}

// lose has half of the targets reset the connection of a share of the requests that they have run.
func (l *lostRuns) lose(targets []*platformtest.Target) {
	for i, t := range targets {
		if i/2%2 != 0 {
			continue
		}
		t.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path == platformtest.HealthPath || rand.Float64() >= lostShare {
				return false
			}
			l.mu.Lock()
			l.all = append(l.all, platformtest.Run{ID: r.Header.Get(platform.HeaderRequestID), Method: r.Method, URI: r.RequestURI})
			l.mu.Unlock()
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return false
			}
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
			return true
		})
	}
}

// twice returns the requests that were run more than once.
func (l *lostRuns) twice(targets []*platformtest.Target) (ids []string) {
	runs := map[string]int{}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, run := range l.all {
		runs[run.ID]++
	}
	for _, t := range targets {
		for _, run := range t.Runs() {
			if runs[run.ID]++; runs[run.ID] > 1 {
				ids = append(ids, run.ID)
			}
		}
	}
	return ids
}

// slashConfig has a route for all paths of shopHost, whose requests run at most once, and one for those below /lots/, on both
// hosts, whose requests may be repeated.
func slashConfig() []byte {
	return []byte(fmt.Sprintf(`{"version":"00000007","routes":[`+
		`{"name":"r-pay","host":%[1]q,"prefix":"/","route_type":"unsafe","timeout":"1500ms","target_latency":"500ms","priority":1,"service":%[3]q,"max_attempts":2},`+
		`{"name":"r-look","host":%[1]q,"prefix":"/lots/","route_type":"safe","timeout":"1200ms","target_latency":"400ms","priority":2,"service":%[4]q,"max_attempts":2},`+
		`{"name":"r-look-2","host":%[2]q,"prefix":"/lots/","route_type":"safe","timeout":"1200ms","target_latency":"400ms","priority":2,"service":%[4]q,"max_attempts":2}],`+
		`"services":[{"name":%[4]q,"health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false},`+
		`{"name":%[3]q,"health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`,
		shopHost, payHost, payService, lookService))
}

// lossySends is how many requests are sent while targets lose answers.
const lossySends = 400

// runSlash: a path that is the prefix of a route without its last slash isn't begun by that prefix.
func runSlash(s *system, trouble bool) (int, error) {
	targets := s.routingTargets()
	done := make(chan struct{})
	defer close(done)
	go s.beat(done, targets...)
	s.store.Put(platform.ConfigKey, slashConfig())
	if err := s.startRouters("mandaue", "lapu", "talisay"); err != nil {
		return failure, err
	}
	time.Sleep(configApply)
	// Both paths are begun by the prefix / alone.
	path := "/lot"
	if trouble {
		path = "/lots"
	}
	wrong := s.runRoutes(targets, []expected{
		{http.MethodGet, shopHost, "/lots/2f", lookService},
		{http.MethodPost, shopHost, "/2f", payService},
		{http.MethodPost, shopHost, path, payService},
		{http.MethodPost, payHost, path, ""},
	})
	lost := &lostRuns{}
	lost.lose(targets)
	s.note("half of the endpoints lose %v of their answers from now on; %d x POST %s%s, which its route allows to run once", lostShare, lossySends, shopHost, path)
	for n := range lossySends {
		q := &request{method: http.MethodPost, host: shopHost, path: path, id: s.newID(), deadline: 3 * time.Second, body: []byte("x")}
		exchange(s.routers[n%len(s.routers)].front, q)
	}
	twice := lost.twice(targets)
	for _, id := range twice {
		s.note("TWICE broken: %s was run twice", id)
	}
	s.note("%d of %d requests ran, and their answer was lost; %d were run twice", len(lost.all), lossySends, len(twice))
	if wrong+len(twice) > 0 {
		return broken, nil
	}
	return held, nil
}

// runEncoded: a prefix with escaped characters begins the path that has the same characters.
func runEncoded(s *system, trouble bool) (int, error) {
	prefix := "/sakana/"
	if trouble {
		prefix = "/%E9%AD%9A/"
	}
	return s.runRouteCase(prefix, []expected{
		{http.MethodGet, shopHost, "/hotate/2f", lookService},
		{http.MethodPost, shopHost, prefix + "2f", payService},
		{http.MethodPost, payHost, prefix + "2f", payService},
	})
}

// idLength is the length in bytes of the ids that runUnasked sends; a request's header may have 16384 bytes.
const idLength = 144

// runUnasked: a request is forwarded with the id and the path that its client sent.
func runUnasked(s *system, trouble bool) (int, error) {
	targets := s.routingTargets()
	done := make(chan struct{})
	defer close(done)
	go s.beat(done, targets...)
	s.store.Put(platform.ConfigKey, slashConfig())
	if err := s.startRouters("mandaue", "lapu", "talisay"); err != nil {
		return failure, err
	}
	time.Sleep(time.Second)
	path := "/menu/\xe9\xad\x9a|{1}"
	if trouble {
		path = "/" + path
	}
	sent, wrong := map[string]string{}, 0
	send := func(r *router, id, path string) {
		sent[id] = path
		q := &request{method: http.MethodPost, host: shopHost, path: path, id: id, deadline: 3 * time.Second, body: []byte("x")}
		a := s.send(r, q)
		if got := a.header.Get(platform.HeaderRequestID); a.err == nil && got != id {
			wrong++
			s.note("MIXED broken: the client of %.20s... got an answer with the id %s", id, got)
		}
	}
	for range 4 {
		for _, r := range s.routers {
			id := s.newID()
			if trouble {
				id = strings.Repeat(id, idLength/len(id))
			}
			send(r, id, "/payouts/2f")
			send(r, s.newID(), path)
		}
	}
	asked := 0
	for _, t := range targets {
		for _, run := range t.Runs() {
			path, known := sent[run.ID]
			switch {
			case !known:
				wrong++
				s.note("UNASKED broken: an endpoint ran %s %q under the id %s, which no client sent", run.Method, run.URI, run.ID)
			case path != run.URI:
				wrong++
				s.note("UNASKED broken: an endpoint ran %s %q, and the client sent %q", run.Method, run.URI, path)
			default:
				asked++
			}
		}
	}
	s.note("%d requests were run with the id and the path that their client sent", asked)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
