package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tarragongw/core/directory"
	"tarragongw/core/dispatch"
	"tarragongw/internal/waittest"
	"tarragongw/platform"
	"tarragongw/platform/platformtest"
)

// evacuationLimit is the time after the acknowledgement of an evacuation within which targets may get requests.
const evacuationLimit = 2500 * time.Millisecond

// newEvacuationFleet starts gateways in front of targets in two data centres, and waits until all serve.
func newEvacuationFleet(t *testing.T, gateways int) *fleet {
	var targets []*platformtest.Target
	for _, id := range []string{"0", "1"} {
		targets = append(targets, platformtest.NewTarget("hall-k"+id, "keyed", "hall", true), platformtest.NewTarget("hall-p"+id, "any", "hall", false),
			platformtest.NewTarget("annex-k"+id, "keyed", "annex", true), platformtest.NewTarget("annex-p"+id, "any", "annex", false))
	}
	f := newFleet(t, 0, mixedConfig, targets...)
	f.knownWithin, f.evacuatedWithin = drainLimit, evacuationLimit
	for i := range gateways {
		f.start(routerName(i))
	}
	f.awaitSubscribed()
	for _, g := range f.gateways {
		f.sendUntilServed(g, call{method: http.MethodGet, path: "/look/1", key: 100})
		f.sendUntilServed(g, call{method: http.MethodGet, path: "/read/1", key: -1})
	}
	return f
}

func (f *fleet) evacuate(dataCentre string) {
	f.store.Put(platform.EvacuationPrefix+dataCentre, []byte("{}"))
}

func (f *fleet) endEvacuation(dataCentre string) {
	f.store.Delete(platform.EvacuationPrefix + dataCentre)
}

// sendEverywhere sends requests through all gateways for a while. It returns an error if one is neither served nor refused
// at once.
func (f *fleet) sendEverywhere(d time.Duration) error {
	for began := time.Now(); time.Since(began) < d; time.Sleep(20 * time.Millisecond) {
		for _, g := range f.gateways {
			if g.lifetime.Err() != nil {
				continue
			}
			for _, c := range []call{{method: http.MethodGet, path: "/look/1", key: f.version * 1000 % 60000}, {method: http.MethodGet, path: "/read/1", key: -1}} {
				sent := time.Now()
				a := f.send(g, c)
				if took := time.Since(sent); a.status != http.StatusOK && (a.status != http.StatusServiceUnavailable || took > time.Second) {
					return errors.Errorf("%s: status %d, %v after %v", c.path, a.status, a.err, took)
				}
			}
		}
	}
	return nil
}

// arrivalsIn returns the requests that reached targets of a data centre later than a time.
func (f *fleet) arrivalsIn(dataCentre string, after time.Time) (late []time.Duration) {
	for _, target := range f.targets {
		if target.Zone != dataCentre {
			continue
		}
		for _, a := range target.Arrivals() {
			if a.At.After(after) {
				late = append(late, a.At.Sub(after))
			}
		}
	}
	return late
}

// Guards against requests that reach an evacuated data centre, be it that the leader doesn't move keys or that nobody tells.
func TestEvacuatedDataCentreGetsNoLateRequests(t *testing.T) {
	for name, trouble := range map[string]func(f *fleet){
		"nothing":                 func(*fleet) {},
		"the leader is held up":   func(f *fleet) { f.links[f.leader().opts.Name].tablesHeldUp.Store(true) },
		"the leader is lost":      func(f *fleet) { abandon(f.leader()) },
		"the leader has no store": func(f *fleet) { f.links[f.leader().opts.Name].cut.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			retryOnStall(t, func() error {
				f := newEvacuationFleet(t, 3)
				trouble(f)
				f.evacuate("hall")
				acknowledged := time.Now()
				if err := f.sendEverywhere(evacuationLimit + time.Second); err != nil {
					return err
				}
				if late := f.arrivalsIn("hall", acknowledged.Add(evacuationLimit)); len(late) > 0 {
					return errors.Errorf("%d late requests, the first after %v", len(late), late[0])
				}
				return nil
			})
		})
	}
}

// Guards against an evacuation that is taken back and still keeps requests away, and against one that ends another's.
func TestEvacuationsOfDataCentresEndOnTheirOwn(t *testing.T) {
	f := newEvacuationFleet(t, 2)
	f.evacuate("hall")
	f.evacuate("annex")
	for _, g := range f.gateways {
		waittest.Until(t, "all is refused", func() bool {
			return f.send(g, call{method: http.MethodGet, path: "/read/1", key: -1}).status == http.StatusServiceUnavailable
		})
		began := time.Now()
		f.send(g, call{method: http.MethodGet, path: "/read/1", key: -1})
		assert.Assert(t, time.Since(began) < 500*time.Millisecond, "refused after %v", time.Since(began))
	}
	f.endEvacuation("annex")
	for _, g := range f.gateways {
		a := f.sendUntilServed(g, call{method: http.MethodGet, path: "/read/1", key: -1})
		assert.Assert(t, a.body[:5] == "annex", a.body)
		f.sendUntilServed(g, call{method: http.MethodGet, path: "/look/1", key: 100})
	}
	f.endEvacuation("hall")
	waittest.Until(t, "hall is used again", func() bool {
		return f.sendUntilServed(f.gateways[0], call{method: http.MethodGet, path: "/read/1", key: -1}).body[:4] == "hall"
	})
}

// Guards against an evacuation that a router that starts, or one that the store refuses, doesn't know.
func TestEvacuationIsKnownToARouterThatStarts(t *testing.T) {
	f := newEvacuationFleet(t, 2)
	f.evacuate("hall")
	waittest.Until(t, "the evacuation is known", func() bool { return len(f.gateways[1].evacuations()) == 1 })
	began := time.Now()
	g := f.start("late")
	waittest.Until(t, "the gateway is ready", g.synced.Load)
	for range 20 {
		f.sendUntilServed(g, call{method: http.MethodGet, path: "/read/1", key: -1})
	}
	for _, target := range f.targets {
		for _, a := range target.Arrivals() {
			assert.Assert(t, target.Zone != "hall" || a.At.Before(began), "%s got %s", target.ID, a.ID)
		}
	}
}

// Guards against a connection for another router that carries requests to an evacuated target.
func TestSendLimitEndsWithTheEvacuationLimit(t *testing.T) {
	f := newEvacuationFleet(t, 1)
	g, hall := f.gateways[0], directory.Target{ID: "hall-p0", StartUnixMilli: 1, DataCentre: "hall"}
	assert.Assert(t, g.sends.check(&hall) == nil)
	g.sends.setEvacuated([]directory.Target{{ID: "hall-p0", StartUnixMilli: 1, Evacuated: true, EvacuatedAfter: time.Now().Add(-evacuationLimit)}})
	assert.Assert(t, g.sends.check(&hall) != nil)
}

// Guards against operators who can't see which data centres are evacuated.
func TestEvacuationsAreShown(t *testing.T) {
	f := newEvacuationFleet(t, 1)
	f.evacuate("hall")
	g := f.gateways[0]
	waittest.Until(t, "the evacuation is known", func() bool { return len(g.evacuations()) == 1 })
	text, err := json.Marshal(g.describeEvacuations())
	assert.NilError(t, err)
	shown := map[string]any{}
	assert.NilError(t, json.Unmarshal(text, &shown))
	assert.Equal(t, len(shown["evacuations"].([]any)), 1)
}

// Guards against targets of a data centre that is taken back cold and gets requests like the others, and against one that is
// warm and stays unused.
func TestTargetsOfADataCentreThatIsTakenBackAreAskedWhetherTheyAreCold(t *testing.T) {
	for name, cold := range map[string]bool{"cold": true, "warm": false} {
		t.Run(name, func(t *testing.T) {
			f := newColdReturnFleet(t)
			hall, annex := f.targets["hall"], f.targets["annex"]
			f.evacuate("hall")
			waittest.Until(t, "the evacuation is known", func() bool { return len(f.gateways[0].evacuations())+len(f.gateways[1].evacuations()) == 2 })
			if cold {
				hall.SetCold(time.Minute)
			}
			f.endEvacuation("hall")
			waittest.Until(t, "the targets are asked", func() bool { return strings.Contains(f.log.String(), "targets asked whether they are cold") })
			before := len(hall.Arrivals())
			read := func() { f.sendUntilServed(f.gateways[0], call{method: http.MethodGet, path: "/read/1", key: -1}) }
			if !cold {
				waittest.Until(t, "the target is used", func() bool { read(); return len(hall.Arrivals()) > before+5 })
				return
			}
			for len(annex.Arrivals()) < 40 {
				read()
			}
			assert.Assert(t, len(hall.Arrivals()) <= before+3, "%d requests", len(hall.Arrivals())-before)
		})
	}
}

// newColdReturnFleet starts two gateways in front of one target in each of two data centres, whose service has a limit for
// cold targets.
func newColdReturnFleet(t *testing.T) *fleet {
	config := strings.Replace(plainConfig, `{"name":"any",`, `{"name":"any","health_path":"/healthz","warmup":"60s","warmup_per_s":0.5,`, 1)
	f := newFleet(t, 0, config, platformtest.NewTarget("hall", "any", "hall", false), platformtest.NewTarget("annex", "any", "annex", false))
	f.knownWithin, f.evacuatedWithin, f.cold = drainLimit, evacuationLimit, dispatch.ColdTolerance{Factor: 1.5, Slack: 3}
	for i := range 2 {
		f.start(routerName(i))
	}
	f.awaitSubscribed()
	for _, g := range f.gateways {
		waittest.Until(t, "the gateway is ready", g.synced.Load)
	}
	return f
}
