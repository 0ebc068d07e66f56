package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net/url"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"tarragongw/config"
	"tarragongw/heap"
	"tarragongw/keys"
	"tarragongw/kv/httpstore"
	"tarragongw/router"
	"tarragongw/telemetry"
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run one router until SIGTERM",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "TOML `FILE` with the settings of this router", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c.String("config"))
		},
	}
}

func run(ctx context.Context, path string) error {
	settings, err := config.LoadRouter(path)
	if err != nil {
		return err
	}
	logger, err := telemetry.NewLogger(telemetry.LogConfig{Level: settings.Log.Level})
	if err != nil {
		return err
	}
	clients, err := newPlatformClients(settings)
	if err != nil {
		return err
	}
	defer clients.close()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	r, err := router.New(router.Options{
		Settings:  settings,
		Store:     clients.store,
		Directory: clients.directory,
		Logger:    logger,
		Keys:      clients.keys,
	})
	if err != nil {
		return err
	}
	defer heap.Start()()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	r.Start()
	logger.Info("started", "router", settings.Name, "callers", r.Addresses().Caller, "operators", r.Addresses().Operator)
	handleSignals(ctx, r, signals, hangups)
	return stop(r, settings.Drain.Limit, signals, logger)
}

// handleSignals reloads the certificate files at each SIGHUP, and returns when a stop
// signal arrives or ctx is done.
func handleSignals(ctx context.Context, r *router.Router, signals, hangups <-chan os.Signal) {
	for {
		select {
		case <-hangups:
			r.ReloadKeys()
		case <-signals:
			return
		case <-ctx.Done():
			return
		}
	}
}

// platformClients are the clients of the store and of the list of VMs. They are the same
// client unless the settings give the list of VMs an address of its own.
type platformClients struct {
	store     *httpstore.Client
	directory *httpstore.Client
	// keys holds the certificate authorities of the platform if the settings name them.
	keys []*keys.Source
}

func newPlatformClients(s *config.Router) (*platformClients, error) {
	dialTLS, sources, err := platformTLS(s)
	if err != nil {
		return nil, err
	}
	store, err := newPlatformClient(s, s.Store.Addresses, dialTLS)
	if err != nil {
		return nil, errors.Wrap(err, "reach the store (store.addresses)")
	}
	if s.VMs.Address == "" {
		return &platformClients{store, store, sources}, nil
	}
	directory, err := newPlatformClient(s, []string{s.VMs.Address}, dialTLS)
	if err != nil {
		store.Close()
		return nil, errors.Wrap(err, "reach the list of VMs (vms.address)")
	}
	return &platformClients{store, directory, sources}, nil
}

// platformTLS returns a function that makes the TLS configuration for a connection to a host
// of the platform, and the source of the platform's certificate authorities. Without
// tls.platform.ca there is no such source, and the system's authorities apply.
func platformTLS(s *config.Router) (func(host string) *tls.Config, []*keys.Source, error) {
	if s.TLS.Platform.CA == "" {
		return func(host string) *tls.Config {
			return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: host}
		}, nil, nil
	}
	source, err := keys.Open(keys.Files{Table: "tls.platform", CA: s.TLS.Platform.CA, Use: keys.Client}, nil)
	if err != nil {
		return nil, nil, err
	}
	return source.ClientTLS, []*keys.Source{source}, nil
}

func (p *platformClients) close() {
	p.store.Close()
	if p.directory != p.store {
		p.directory.Close()
	}
}

func newPlatformClient(s *config.Router, urls []string, dialTLS func(string) *tls.Config) (*httpstore.Client, error) {
	cfg := httpstore.Config{Name: s.Name, Timeout: s.Store.Timeout, WatchWait: s.Timers.Watch}
	for _, text := range urls {
		u, err := url.Parse(text)
		if err != nil {
			return nil, errors.Wrapf(err, "address %q", text)
		}
		if u.Scheme == "https" {
			cfg.DialTLS = dialTLS
		}
		cfg.Addresses = append(cfg.Addresses, u.Host)
	}
	return httpstore.New(cfg)
}

// stop shuts the router down gracefully within the limit; a second signal stops it at once.
// The error reports how many requests were cut off.
func stop(r *router.Router, limit time.Duration, signals <-chan os.Signal, logger *slog.Logger) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	go func() {
		select {
		case <-signals:
			logger.Warn("second signal: stopping at once")
			cancel()
		case <-ctx.Done():
		}
	}()
	report := r.Stop(ctx)
	logger.Info("stopped", "cut", report.Cut, "handed_over", report.HandedOver)
	if report.Cut > 0 {
		return &exitError{fmt.Errorf("%d requests were cut off", report.Cut), exitRequestsCut}
	}
	return nil
}
