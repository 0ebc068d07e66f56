package dev

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tarragongw/config"
	"tarragongw/kv"
	"tarragongw/router"
)

// RouterName is the name of the router with the index in the data centre.
func RouterName(dc string, index int) string {
	return dc + "-" + string(rune('a'+index))
}

// AddRouter starts a further router and adds it to the platform's list of VMs.
func (s *System) AddRouter(name, dc string) error {
	r, err := s.newRouter(name, dc)
	if err != nil {
		return err
	}
	s.listVMs()
	r.Start()
	return nil
}

// Restart loses the router with the index, as Abort does, and starts another life
// of it under the same name at another address.
func (s *System) Restart(i int) error {
	old := s.Routers[i]
	old.Abort()
	next, err := s.makeRouter(old.Name(), old.DataCentre())
	if err != nil {
		return err
	}
	s.Routers[i] = next
	s.listVMs()
	next.Start()
	return nil
}

func (s *System) newRouter(name, dc string) (*router.Router, error) {
	r, err := s.makeRouter(name, dc)
	if err == nil {
		s.Routers = append(s.Routers, r)
	}
	return r, err
}

func (s *System) makeRouter(name, dc string) (*router.Router, error) {
	settings := config.Defaults()
	settings.Name = name
	settings.DataCentre = dc
	settings.VMs.Every = listEvery
	// Routers, targets and callers share one process here: what delays a router is not its
	// own load, and refusing some of that would mend nothing.
	settings.Limits.OwnDelay = 0
	settings.Listen.Caller, settings.Listen.Operator, settings.Listen.Peer = loopback, loopback, loopback
	UseKeys(&settings, s.cfg.Keys)
	if s.cfg.Settings != nil {
		s.cfg.Settings(&settings)
	}
	client := s.Platform.Client(name)
	options := router.Options{Settings: &settings, Store: client, Directory: client}
	if s.cfg.Logger != nil {
		options.Logger = s.cfg.Logger.With("router", name)
	}
	if s.cfg.Links != nil {
		dial := s.cfg.Links.dialer(name)
		options.DialTarget, options.DialPeer = dial, dial
	}
	if s.cfg.DialPeer != nil {
		options.DialPeer = s.cfg.DialPeer(name)
	}
	if s.cfg.KeyTicks != nil {
		options.KeyTicks = s.cfg.KeyTicks(name)
	}
	if s.cfg.Incarnation != nil {
		options.Incarnation = s.cfg.Incarnation(name)
	}
	if s.cfg.Clock != nil {
		options.Clock = s.cfg.Clock(name)
	}
	r, err := router.New(options)
	if err != nil {
		return nil, errors.Wrapf(err, "start router %s", name)
	}
	if s.cfg.Links != nil {
		s.cfg.Links.name(r.Addresses().Peer, name)
	}
	return r, nil
}

// listVMs lists each name's latest router.
func (s *System) listVMs() {
	var vms []kv.VM
	for i, r := range s.Routers {
		if slices.ContainsFunc(s.Routers[i+1:], func(later *router.Router) bool { return later.Name() == r.Name() }) {
			continue
		}
		vms = append(vms, kv.VM{Name: r.Name(), DataCentre: r.DataCentre(), PeerAddress: r.Addresses().Peer})
	}
	s.Platform.SetVMs(vms)
}

// AwaitReady waits until each router is ready and has a route for each unit.
func (s *System) AwaitReady(ctx context.Context) error {
	for _, r := range s.Routers {
		if err := AwaitRouter(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// AwaitRouter waits until the router is ready.
func AwaitRouter(ctx context.Context, r *router.Router) error {
	for !r.Ready() {
		select {
		case <-time.After(readyEvery):
		case <-ctx.Done():
			return errors.Errorf("router %s is not ready: %v", r.Name(), r.Causes())
		}
	}
	return nil
}
