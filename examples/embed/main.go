// Command embed shows a firm's own program with the router built in. The program
// brings the platform's clients, settings, logger and signals, and decides when to
// start and stop; here the platform is the stand-in in memory. See
// docs/EMBEDDING.md.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"tarragongw/config"
	"tarragongw/kv"
	"tarragongw/kv/standin"
	"tarragongw/router"
)

// loopback lets the system choose a free port.
const loopback = "127.0.0.1:0"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, func(a router.Addresses) { fmt.Println("callers:", a.Caller, "operators:", a.Operator) }); err != nil {
		fmt.Fprintln(os.Stderr, "embed:", err)
		os.Exit(1)
	}
}

// run serves until ctx ends, then stops gracefully. It calls started once with
// the addresses.
func run(ctx context.Context, started func(router.Addresses)) error {
	settings := config.Defaults()
	settings.Name = "shop-a"
	settings.DataCentre = "kushiro-hall"
	settings.Listen.Caller, settings.Listen.Operator, settings.Listen.Peer = loopback, loopback, loopback

	// A firm gives its own kv.Store and kv.VMLister, or
	// kv/httpstore with the address of its platform.
	service := standin.New(standin.Config{})
	client := service.Client(settings.Name)

	r, err := router.New(router.Options{
		Settings:  &settings,
		Store:     client,
		Directory: client,
		Logger:    slog.New(slog.NewTextHandler(os.Stderr, nil)),
	})
	if err != nil {
		return errors.Wrap(err, "make the router")
	}
	addresses := r.Addresses()
	service.SetVMs([]kv.VM{{Name: settings.Name, DataCentre: settings.DataCentre, PeerAddress: addresses.Peer}})
	r.Start()
	started(addresses)
	<-ctx.Done()

	stopping, cancel := context.WithTimeout(context.Background(), settings.Drain.Limit)
	defer cancel()
	if report := r.Stop(stopping); report.Cut > 0 {
		return errors.Errorf("%d requests were cut off", report.Cut)
	}
	return nil
}
