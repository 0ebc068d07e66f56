package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"

	"tarragongw/core/model"
	"tarragongw/core/request"
	"tarragongw/core/routes"
)

// view is the configuration as the request path reads it; it is immutable but for the splitters.
type view struct {
	config *routes.Config
	routes map[string]*route
}

// route is a route with the state that splits its requests among services.
type route struct {
	routes.Route
	version uint64

	mu       sync.Mutex
	splitter *routes.Splitter
}

// choosePart sets the service of a request, unless it has one of the route already. It returns false if there is none.
func (r *route) choosePart(meta *request.Meta) bool {
	keeps := func(s routes.Share) bool { return s.Service == meta.Part && s.Weight > 0 }
	if meta.Part != "" && slices.ContainsFunc(r.Shares, keeps) {
		return true
	}
	if len(r.Shares) == 1 {
		meta.Part = r.Shares[0].Service
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	part, found := r.splitter.Next()
	meta.Part = part
	return found
}

func newView(c *routes.Config, random *rand.Rand) *view {
	v := &view{config: c, routes: make(map[string]*route, len(c.Routes))}
	for _, r := range c.Routes {
		v.routes[r.Name] = &route{Route: r, version: c.Version, splitter: routes.NewSplitter(r.Shares, random)}
	}
	return v
}

// viewOf returns the view of the configuration by which a request was matched; nil if that is no longer known.
func (g *Gateway) viewOf(model uint64) *view {
	current := g.view.Load()
	if current == nil || model == 0 || current.config.Version == model {
		return current
	}
	// A request may be matched before the change and get here after it, or the other way round.
	if former := g.formerView.Load(); former != nil && former.config.Version == model {
		return former
	}
	return nil
}

// callerModel returns the model by which package caller finds a request's route. It has a service for
// each route.
func callerModel(c *routes.Config, h Headers) *model.Model {
	m := &model.Model{Revision: c.Version}
	for _, r := range c.Routes {
		m.Services = append(m.Services, model.Service{
			Name: r.Name, Division: model.Any, Hosts: []string{r.Host}, PathPrefix: r.Prefix,
			Deadline: model.Extract{From: model.FromHeader, Name: h.Deadline}, Timeout: r.Timeout,
			Repeatable: model.Extract{Default: repeatability(r.Repeat)},
		})
	}
	return m
}

func repeatability(r routes.Repeat) string {
	if r == routes.Idempotent {
		return "repeatable"
	}
	return "at-most-once"
}
