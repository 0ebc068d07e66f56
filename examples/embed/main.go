// Command embed shows how to embed the router in a program of your own. The program
// provides the platform's clients, the settings, the logger and the signal handling, and
// decides when to start and stop. Here the platform is the in-memory stand-in. See
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

// loopback is a listen address for which the operating system chooses a free port.
const loopback = "127.0.0.1:0"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, func(a router.Addresses) { fmt.Println("callers:", a.Caller, "operators:", a.Operator) }); err != nil {
		fmt.Fprintln(os.Stderr, "embed:", err)
		os.Exit(1)
	}
}

// run serves until ctx ends, then stops gracefully. It calls started once, with the
// router's addresses, after the start.
func run(ctx context.Context, started func(router.Addresses)) error {
	settings := config.Defaults()
	settings.Name = "shop-a"
	settings.DataCentre = "kushiro-hall"
	settings.Listen.Caller, settings.Listen.Operator, settings.Listen.Peer = loopback, loopback, loopback

	// A real program passes its own kv.Store and kv.VMLister, or those of kv/httpstore
	// with the address of its platform.
	service := standin.New(standin.Config{})
	client := service.Client(settings.Name)

	r, err := router.New(router.Options{
		Settings:  &settings,
		Store:     client,
		Directory: client,
		Logger:    slog.New(slog.NewTextHandler(os.Stderr, nil)),
	})
	if err != nil {
		return errors.Wrap(err, "create the router")
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
