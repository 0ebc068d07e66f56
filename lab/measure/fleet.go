package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"tarragongw/config"
	"tarragongw/core/model"
	"tarragongw/dev"
	"tarragongw/keys"
	"tarragongw/kv"
	"tarragongw/kv/httpstore"
	"tarragongw/kv/standin"
	"tarragongw/operator"
)

const (
	serviceName  = "pages"
	servicePath  = "/pages"
	serviceSlots = 1024
	keyTries     = 4000
	pollEvery    = 20 * time.Millisecond
)

// shape says how large a fleet is.
type shape struct {
	dataCentres int
	routers     int
	targets     int
	// binary is an earlier build whose routers run; this one where empty.
	binary string
	// perRelay replaces store.routers_per_relay where it is not zero.
	perRelay int
	// noDatagrams sends heartbeats over sessions.
	noDatagrams bool
	// unrecorded turns off what routers keep of each request.
	unrecorded bool
	// shedding lets routers refuse work for their own delay.
	shedding bool
	// keys is a folder of certificates for all of them; plain text where empty.
	keys string
}

// fleet is a system whose routers are processes of their own.
type fleet struct {
	platform *standin.Platform
	server   *http.Server
	targets  []*fastTarget
	routers  []*process
	names    []string
	keys     string
}

func dataCentre(i int) string { return fmt.Sprint("dc-", i) }

func routerName(i int) string { return fmt.Sprintf("router-%02d", i) }

func targetName(i int) string { return fmt.Sprintf("target-%02d", i) }

// startFleet returns once each target has a grantor at each router.
func startFleet(ctx context.Context, s *settings, size shape) (*fleet, error) {
	f := &fleet{platform: standin.New(standin.Config{}), keys: size.keys}
	if err := f.start(ctx, s, size); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, s *settings, size shape) error {
	address, err := f.servePlatform()
	if err != nil {
		return err
	}
	m, err := f.startTargets(size)
	if err != nil {
		return err
	}
	var vms []kv.VM
	for i := range size.routers {
		name, dc := routerName(i), dataCentre(i%size.dataCentres)
		p, err := startProcess(ctx, s.procs, size.binary, &childConfig{
			Kind: kindRouter, Name: name, DataCentre: dc, Platform: address,
			RoutersPerRelay: size.perRelay, Unrecorded: size.unrecorded,
			NoDatagrams: size.noDatagrams, Shedding: size.shedding, Keys: size.keys,
		})
		if err != nil {
			return err
		}
		f.routers, f.names = append(f.routers, p), append(f.names, name)
		vms = append(vms, kv.VM{Name: name, DataCentre: dc, PeerAddress: p.Peer})
	}
	f.platform.SetVMs(vms)
	if err := f.awaitMembers(ctx); err != nil {
		return err
	}
	data, err := config.Encode(m)
	if err != nil {
		return err
	}
	if _, err := f.operator(0).Apply(ctx, &operator.ApplyRequest{Author: "measure", Model: data}); err != nil {
		return errors.Wrap(err, "put the configuration in force")
	}
	return f.awaitRoutes(ctx, size)
}

func (f *fleet) servePlatform() (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	f.server = &http.Server{Handler: httpstore.NewHandler(func(client string) httpstore.Backend { return f.platform.Client(client) })}
	// Serve ends when stop closes the server.
	go func() { _ = f.server.Serve(l) }()
	return l.Addr().String(), nil
}

func (f *fleet) startTargets(size shape) (*model.Model, error) {
	m := &model.Model{Services: []model.Service{{
		Name: serviceName, Division: model.ByKey, HashSlots: serviceSlots, PathPrefix: servicePath,
		Key:     model.Extract{From: model.FromPath, Segment: 0},
		Caller:  model.Extract{From: model.FromHeader, Name: "X-Caller"},
		Timeout: 10 * time.Second, ProgressTimeout: 10 * time.Second, QueueLength: 512,
		Isolation: model.Isolation{Keep: true},
	}}}
	for i := range size.targets {
		t, err := startTarget(targetName(i), size.keys)
		if err != nil {
			return nil, err
		}
		f.targets = append(f.targets, t)
		m.Targets = append(m.Targets, model.Target{
			Name: targetName(i), Service: serviceName, DataCentre: dataCentre(i % size.dataCentres),
			Address: t.address(), Slots: targetSlots, Connections: targetConns,
			Grants: model.GrantCheck{ChecksTokens: true, Expires: true},
		})
	}
	return m, nil
}

func (f *fleet) operator(i int) *operator.Client {
	if f.keys != "" {
		return &operator.Client{Base: "https://" + f.routers[i].Operator, HTTP: dev.OperatorHTTP(f.keys, keys.RoleAdminister)}
	}
	return &operator.Client{Base: "http://" + f.routers[i].Operator}
}

// awaitMembers waits until each router knows all others. Targets that come before
// all go to the routers that are known already, and stay with them.
func (f *fleet) awaitMembers(ctx context.Context) error {
	for i := range f.routers {
		for {
			status, err := f.operator(i).Status(ctx)
			if err == nil && len(status.Routers) >= len(f.routers) {
				break
			}
			if err := sleep(ctx, pollEvery); err != nil {
				return errors.Wrapf(err, "router %s does not know all others", f.names[i])
			}
		}
	}
	return nil
}

// awaitRoutes waits until each router knows a grantor of each target.
func (f *fleet) awaitRoutes(ctx context.Context, size shape) error {
	for i := range f.routers {
		for t := range size.targets {
			for {
				e, err := f.operator(i).ExplainTarget(ctx, targetName(t))
				if err == nil && e.Grantor != "" {
					break
				}
				if sleepErr := sleep(ctx, pollEvery); sleepErr != nil {
					return errors.Wrapf(sleepErr, "router %s has no grantor of %s", f.names[i], targetName(t))
				}
			}
		}
	}
	return nil
}

// route is where router 0 sends a key.
type route struct {
	key     string
	target  string
	grantor string
}

// findKeys returns the keys that enough accepts, asked of router 0; it stops once
// enough says so.
func (f *fleet) findKeys(ctx context.Context, enough func(route) bool) error {
	for i := range keyTries {
		key := fmt.Sprint("key-", i)
		e, err := f.operator(0).ExplainKey(ctx, serviceName, key)
		for err != nil || e.Grantor == "" {
			if sleepErr := sleep(ctx, pollEvery); sleepErr != nil {
				return errors.Wrapf(sleepErr, "key %s has no owner", key)
			}
			e, err = f.operator(0).ExplainKey(ctx, serviceName, key)
		}
		if enough(route{key: key, target: e.Target, grantor: e.Grantor}) {
			return nil
		}
	}
	return errors.New("too few keys have the owners that are looked for")
}

func (f *fleet) stop() {
	for _, p := range f.routers {
		p.stop()
	}
	for _, t := range f.targets {
		t.stop()
	}
	if f.server != nil {
		_ = f.server.Close()
	}
}

// sleep waits unless ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
