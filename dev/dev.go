// Package dev runs a whole small system in one process on loopback: the
// platform's stand-in, the targets of a settings folder and a router in each data
// centre. It is for trying things out and for tests; nothing in it lasts.
package dev

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sort"
	"time"

	"github.com/pkg/errors"

	"tarragongw/clock"
	"tarragongw/config"
	"tarragongw/core/model"
	"tarragongw/keys"
	"tarragongw/kv/httpstore"
	"tarragongw/kv/standin"
	"tarragongw/operator"
	"tarragongw/router"
	"tarragongw/target/sample"
)

const (
	loopback = "127.0.0.1:0"
	// readyEvery is how often Start looks whether all routers are ready.
	readyEvery = 10 * time.Millisecond
	// listEvery is how often routers read the list of VMs, which is at hand here.
	listEvery = 200 * time.Millisecond
	// logLimit bounds the executions that are remembered.
	logLimit = 1_000_000
	// workTime is what each request takes at a sample target.
	workTime = time.Millisecond
)

// Config says what to run.
type Config struct {
	// Model is the configuration to put in force; target addresses are replaced.
	Model *model.Model
	// RoutersPerDataCentre is 1 where it is zero.
	RoutersPerDataCentre int
	// Settings changes a router's settings before it is made; nil leaves them.
	Settings func(*config.Router)
	// Sample changes a target's settings before it is started; nil leaves them.
	Sample func(*sample.Config)
	// Logger receives the routers' logs; nil discards them.
	Logger *slog.Logger
	// Links puts the connections between routers and to targets under switches; nil
	// leaves them as they are.
	Links *Links
	// DialPeer gives the router with the name what it reaches other routers with, in
	// place of Links; nil leaves it.
	DialPeer func(router string) router.Dial
	// Clock gives the router with the name its clock; nil leaves the default.
	Clock func(router string) clock.Clock
	// Incarnation gives a router's next life its incarnation; nil takes the wall clock's.
	Incarnation func(router string) uint64
	// Keys is a folder that keys.Initialise filled for the routers and targets of the
	// system: all sides speak TLS then. Empty is plain text.
	Keys string
	// KeyTicks paces the routers' looks at the files; nil leaves the default.
	KeyTicks func(router string) <-chan time.Time
	// Unconfigured leaves the store empty.
	Unconfigured bool
}

// Patient gives grants a long life, for tests and slow machines: with the default
// of 320 ms a machine that is busy with other work makes targets look lost.
func Patient(s *config.Router) {
	s.Drain.NotReady = 50 * time.Millisecond
	s.Timers.GrantRenew = 250 * time.Millisecond
	s.Timers.GrantTTL = 2500 * time.Millisecond
}

// System is a running system.
type System struct {
	// Platform is the stand-in with its switches, Routers and Targets are by name.
	Platform *standin.Platform
	Routers  []*router.Router
	Targets  map[string]*sample.Server
	// Log holds the executions of all targets.
	Log *sample.Log
	// PlatformURL is where the platform answers over HTTP.
	PlatformURL string

	cfg      Config
	platform *http.Server
	// targetKeys are the files of the targets, with Config.Keys.
	targetKeys []*keys.Source
	// stopped is the number of routers that Stop has taken off the list of VMs.
	stopped int
}

// Start runs a system and returns once every router is ready and every unit of
// keys has an owner.
func Start(ctx context.Context, cfg Config) (*System, error) {
	s := &System{
		cfg:      cfg,
		Platform: standin.New(standin.Config{}),
		Targets:  make(map[string]*sample.Server),
		Log:      sample.NewLog(logLimit),
	}
	if err := s.start(ctx); err != nil {
		s.Stop(ctx)
		return nil, err
	}
	return s, nil
}

func (s *System) start(ctx context.Context) error {
	if err := s.servePlatform(); err != nil {
		return err
	}
	m, err := s.startTargets()
	if err != nil {
		return err
	}
	for _, dc := range DataCentres(m) {
		for i := range max(1, s.cfg.RoutersPerDataCentre) {
			if _, err := s.newRouter(RouterName(dc, i), dc); err != nil {
				return err
			}
		}
	}
	s.listVMs()
	for _, r := range s.Routers {
		r.Start()
	}
	if s.cfg.Unconfigured {
		return nil
	}
	if err := s.apply(ctx, m); err != nil {
		return err
	}
	return s.AwaitReady(ctx)
}

func (s *System) servePlatform() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "listen for the platform's stand-in")
	}
	handler := httpstore.NewHandler(func(client string) httpstore.Backend { return s.Platform.Client(client) })
	s.platform = &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	s.PlatformURL = "http://" + l.Addr().String()
	// Serve only returns once Stop closes the server.
	go func() { _ = s.platform.Serve(l) }()
	return nil
}

// startTargets runs a sample server for each target and returns the model with
// their addresses.
func (s *System) startTargets() (*model.Model, error) {
	m := *s.cfg.Model
	m.Targets = append([]model.Target(nil), m.Targets...)
	for i := range m.Targets {
		t := &m.Targets[i]
		settings := sample.Config{
			Name:      t.Name,
			Slots:     t.Slots,
			Grants:    t.Grants,
			Undivided: m.Service(t.Service).Division == model.Any,
			Work:      workTime,
			Log:       s.Log,
		}
		if err := s.targetTLS(&settings); err != nil {
			return nil, err
		}
		if s.cfg.Sample != nil {
			s.cfg.Sample(&settings)
		}
		server := sample.New(settings)
		if err := server.Start(); err != nil {
			return nil, errors.Wrapf(err, "start target %s", t.Name)
		}
		s.Targets[t.Name] = server
		t.Address = server.Addr()
		if s.cfg.Links != nil {
			s.cfg.Links.name(t.Address, t.Name)
		}
	}
	return &m, nil
}

// DataCentres returns the data centres of a model's targets, sorted.
func DataCentres(m *model.Model) []string {
	seen := make(map[string]bool)
	for i := range m.Targets {
		seen[m.Targets[i].DataCentre] = true
	}
	names := make([]string, 0, len(seen))
	for name := range seen {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (s *System) apply(ctx context.Context, m *model.Model) error {
	data, err := config.Encode(m)
	if err != nil {
		return err
	}
	_, err = s.Operator(0).Apply(ctx, &operator.ApplyRequest{Author: "dev", Model: data})
	return errors.Wrap(err, "put the configuration in force")
}

// Operator returns a client of the operators' endpoint of the router with the index,
// who may do everything.
func (s *System) Operator(i int) *operator.Client { return s.OperatorAs(i, keys.RoleAdminister) }

// CallerURL is where the router with the index answers callers.
func (s *System) CallerURL(i int) string { return s.scheme() + s.Routers[i].Addresses().Caller }

// Executions counts what the target ran.
func (s *System) Executions(target string) int {
	var n int
	for _, e := range s.Log.All() {
		if e.Target == target {
			n++
		}
	}
	return n
}

// Stop ends the routers gracefully, one after the other, then the rest. It
// returns the number of requests that were cut off.
func (s *System) Stop(ctx context.Context) int {
	var cut int
	for i, r := range s.Routers {
		// The platform takes a VM off its list when it ends it; routers that only know
		// of it from there would go on to call it.
		s.stopped = i + 1
		s.listVMs()
		cut += r.Stop(ctx).Cut
	}
	for _, t := range s.Targets {
		t.Close()
	}
	if s.cfg.Links != nil {
		s.cfg.Links.end()
	}
	if s.platform != nil {
		// The process ends; a connection that is cut off here belongs to nobody.
		_ = s.platform.Close()
	}
	return cut
}
