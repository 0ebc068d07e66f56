package main

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tarragongw/clock"
	"tarragongw/config"
	"tarragongw/kv/httpstore"
	"tarragongw/lab/procuse"
	"tarragongw/router"
)

const (
	childFlag  = "child"
	loopback   = "127.0.0.1:0"
	dataCentre = "hall"
)

// childConfig says which routers a child runs.
type childConfig struct {
	Names    []string
	Platform string
}

// Commands that the parent sends as lines, with names after abort. The end of the
// parent's pipe ends the child.
const (
	commandStart  = "start"
	commandReady  = "ready"
	commandUsage  = "usage"
	commandEvents = "events"
	commandAbort  = "abort"
)

// usage is what a child used since its start, and what it holds.
type usage struct {
	CPU        time.Duration
	Live       uint64
	Resident   uint64
	Goroutines int
	// Control is the bytes on connections between routers, counted once at the side
	// that dialled; Target those on connections to targets.
	Control int64
	Target  int64
}

// child is the routers of one process.
type child struct {
	routers map[string]*router.Router
	events  events
	control atomic.Int64
	target  atomic.Int64
}

func runChild(argument string) error {
	var cfg childConfig
	if err := json.Unmarshal([]byte(argument), &cfg); err != nil {
		return errors.Wrap(err, "read the child's settings")
	}
	c := &child{routers: make(map[string]*router.Router)}
	addresses := make(map[string]router.Addresses)
	for _, name := range cfg.Names {
		r, err := c.newRouter(name, cfg.Platform)
		if err != nil {
			return err
		}
		c.routers[name] = r
		addresses[name] = r.Addresses()
	}
	out := json.NewEncoder(os.Stdout)
	if err := out.Encode(addresses); err != nil {
		return err
	}
	commands := bufio.NewScanner(os.Stdin)
	for commands.Scan() {
		words := strings.Fields(commands.Text())
		if err := out.Encode(c.obey(words[0], words[1:])); err != nil {
			return err
		}
	}
	return commands.Err()
}

func (c *child) newRouter(name, platform string) (*router.Router, error) {
	settings := config.Defaults()
	settings.Name = name
	settings.DataCentre = dataCentre
	settings.Listen.Caller, settings.Listen.Operator, settings.Listen.Peer = loopback, loopback, loopback
	client, err := httpstore.New(httpstore.Config{
		Name: name, Addresses: []string{platform}, Timeout: settings.Store.Timeout, WatchWait: settings.Timers.Watch,
	})
	if err != nil {
		return nil, err
	}
	return router.New(router.Options{
		Settings:   &settings,
		Store:      client,
		Directory:  client,
		Logger:     c.events.logger(name),
		DialPeer:   counting(&c.control),
		DialTarget: counting(&c.target),
	})
}

func (c *child) obey(command string, names []string) any {
	switch command {
	case commandStart:
		for _, r := range c.routers {
			r.Start()
		}
	case commandReady:
		ready := 0
		for _, r := range c.routers {
			if r.Ready() {
				ready++
			}
		}
		return ready
	case commandUsage:
		return c.usage()
	case commandEvents:
		return c.events.take()
	case commandAbort:
		at := clock.Boot{}.Now()
		for _, name := range names {
			go c.routers[name].Abort()
		}
		return at
	}
	return nil
}

func (c *child) usage() *usage {
	cpu := procuse.CPU()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return &usage{
		CPU:        cpu,
		Live:       m.HeapAlloc + m.StackInuse,
		Resident:   procuse.Resident(),
		Goroutines: runtime.NumGoroutine(),
		Control:    c.control.Load(),
		Target:     c.target.Load(),
	}
}

// counting dials connections that add what passes on them, both ways.
func counting(sum *atomic.Int64) router.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{conn, sum}, nil
	}
}

type countedConn struct {
	net.Conn
	sum *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.sum.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sum.Add(int64(n))
	return n, err
}
