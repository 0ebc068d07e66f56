package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tarragongw/config"
	"tarragongw/core/model"
	"tarragongw/kv"
	"tarragongw/kv/httpstore"
	"tarragongw/kv/standin"
	"tarragongw/operator"
	"tarragongw/router"
	"tarragongw/target/sample"
)

const (
	// perProcess bounds the routers of a process: each may hold a session to all others.
	perProcess = 50
	targets    = 4
	hashSlots  = 64
	pollEvery  = 50 * time.Millisecond
)

// process is a child as the parent sees it.
type process struct {
	names   []string
	cmd     *exec.Cmd
	in      io.WriteCloser
	replies *bufio.Reader
}

// fleet is a running system.
type fleet struct {
	platform  *standin.Platform
	server    *http.Server
	targets   []*sample.Server
	processes []*process
	names     []string
	addresses map[string]router.Addresses
	model     *model.Model
}

func startFleet(ctx context.Context, n int) (*fleet, error) {
	f := &fleet{platform: standin.New(standin.Config{}), addresses: make(map[string]router.Addresses)}
	if err := f.start(ctx, n); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, n int) error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	f.server = &http.Server{Handler: httpstore.NewHandler(func(client string) httpstore.Backend { return f.platform.Client(client) })}
	// Serve ends when stop closes the server.
	go func() { _ = f.server.Serve(l) }()
	if err := f.startTargets(); err != nil {
		return err
	}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("router-%03d", i))
	}
	for names := range slices.Chunk(f.names, perProcess) {
		if err := f.startProcess(ctx, &childConfig{Names: names, Platform: l.Addr().String()}); err != nil {
			return err
		}
	}
	f.listVMs(f.names)
	if err := f.tellAll(commandStart); err != nil {
		return err
	}
	if err := f.applyFirst(ctx); err != nil {
		return err
	}
	return f.awaitReady(ctx)
}

func (f *fleet) startTargets() error {
	f.model = &model.Model{Services: []model.Service{{
		Name: "pages", PathPrefix: "/pages", HashSlots: hashSlots, Key: model.Extract{From: model.FromPath},
		Timeout: time.Second, ProgressTimeout: time.Second, QueueLength: 16, Isolation: model.Isolation{Keep: true},
	}}}
	for i := range targets {
		name := fmt.Sprint("target-", i)
		checks := model.GrantCheck{ChecksTokens: true, Expires: true}
		server := sample.New(sample.Config{Name: name, Slots: 8, Grants: checks})
		if err := server.Start(); err != nil {
			return err
		}
		f.targets = append(f.targets, server)
		f.model.Targets = append(f.model.Targets, model.Target{
			Name: name, Service: "pages", DataCentre: dataCentre, Address: server.Addr(), Slots: 8, Connections: 20, Grants: checks,
		})
	}
	return nil
}

func (f *fleet) startProcess(ctx context.Context, cfg *childConfig) error {
	argument, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	binary, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find this command")
	}
	p := &process{names: cfg.Names, cmd: exec.CommandContext(ctx, binary, "-"+childFlag, string(argument))}
	p.cmd.Stderr = os.Stderr
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	p.replies = bufio.NewReader(out)
	if err := p.cmd.Start(); err != nil {
		return errors.Wrap(err, "start a child process")
	}
	f.processes = append(f.processes, p)
	return p.read(&f.addresses)
}

func (p *process) read(into any) error {
	line, err := p.replies.ReadBytes('\n')
	if err != nil {
		return errors.Wrap(err, "read from a child process")
	}
	return errors.Wrap(json.Unmarshal(line, into), "read from a child process")
}

func (p *process) ask(into any, words ...string) error {
	if _, err := fmt.Fprintln(p.in, strings.Join(words, " ")); err != nil {
		return errors.Wrap(err, "ask a child process")
	}
	return p.read(into)
}

func (f *fleet) tellAll(command string) error {
	for _, p := range f.processes {
		if err := p.ask(new(any), command); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) listVMs(names []string) {
	var vms []kv.VM
	for _, name := range names {
		vms = append(vms, kv.VM{Name: name, DataCentre: dataCentre, PeerAddress: f.addresses[name].Peer})
	}
	f.platform.SetVMs(vms)
}

// apply changes a label by way of a router and returns the revision.
func (f *fleet) apply(ctx context.Context, by string, change int) (uint64, error) {
	f.model.Services[0].Labels = model.Labels{"change": fmt.Sprint(change)}
	data, err := config.Encode(f.model)
	if err != nil {
		return 0, err
	}
	client := operator.Client{Base: "http://" + f.addresses[by].Operator}
	reply, err := client.Apply(ctx, &operator.ApplyRequest{Base: f.model.Revision, Author: "scale", Model: data})
	if err != nil {
		return 0, errors.Wrap(err, "change the configuration")
	}
	f.model.Revision = reply.Revision
	return reply.Revision, nil
}

// applyFirst repeats the first change while the store does not answer in time: all
// routers start at once, and all of them read the list of VMs then.
func (f *fleet) applyFirst(ctx context.Context) error {
	for {
		_, err := f.apply(ctx, f.names[0], 0)
		var refused *operator.Error
		if !errors.As(err, &refused) || refused.Code != operator.CodeUnavailable {
			return err
		}
		if err := pause(ctx, pollEvery); err != nil {
			return err
		}
	}
}

func (f *fleet) awaitReady(ctx context.Context) error {
	for {
		sum := 0
		for _, p := range f.processes {
			var ready int
			if err := p.ask(&ready, commandReady); err != nil {
				return err
			}
			sum += ready
		}
		if sum == len(f.names) {
			return nil
		}
		select {
		case <-time.After(pollEvery):
		case <-ctx.Done():
			return errors.Errorf("only %d of %d routers are ready", sum, len(f.names))
		}
	}
}

// usage sums what the routers use; an error where they hold more than they may.
func (f *fleet) usage() (*usage, error) {
	sum := new(usage)
	for _, p := range f.processes {
		u := new(usage)
		if err := p.ask(u, commandUsage); err != nil {
			return nil, err
		}
		sum.CPU += u.CPU
		sum.Live += u.Live
		sum.Resident += u.Resident
		sum.Goroutines += u.Goroutines
		sum.Control += u.Control
		sum.Target += u.Target
	}
	if sum.Resident > maxResident {
		return nil, errors.Errorf("%d MiB resident, more than this command may take", sum.Resident>>20)
	}
	return sum, nil
}

func (f *fleet) events() ([]event, error) {
	var all []event
	for _, p := range f.processes {
		var list []event
		if err := p.ask(&list, commandEvents); err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	return all, nil
}

// abort ends routers as if their processes were lost and returns when each was.
func (f *fleet) abort(names []string) (map[string]time.Duration, error) {
	at := make(map[string]time.Duration)
	for _, p := range f.processes {
		words := []string{commandAbort}
		for _, name := range names {
			if slices.Contains(p.names, name) {
				words = append(words, name)
			}
		}
		var when time.Duration
		if err := p.ask(&when, words...); err != nil {
			return nil, err
		}
		for _, name := range words[1:] {
			at[name] = when
		}
	}
	return at, nil
}

func (f *fleet) stop() {
	for _, p := range f.processes {
		_ = p.in.Close()
		// A child that was killed at the run's end has nothing more to say.
		_ = p.cmd.Wait()
	}
	if f.server != nil {
		_ = f.server.Close()
	}
	for _, t := range f.targets {
		t.Close()
	}
}
