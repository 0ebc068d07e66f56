package main

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"tarragongw/gateway"
	"tarragongw/heap"
	"tarragongw/platform"
	"tarragongw/target"
	"tarragongw/telemetry"
)

const (
	// memoryShare is the part of the VM's memory that the Go runtime may use; the rest is
	// for what it doesn't count, such as bytes that wait in sockets.
	memoryShare = 0.75
	// logLines is how many lines wait for the output: some seconds' worth at full load.
	logLines = 8192
	// logEnd bounds writing the last lines at the end.
	logEnd = 200 * time.Millisecond
	// metricsEvery is how often counts are carried over to what is scraped.
	metricsEvery = 5 * time.Second
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one router on the platform whose settings file " + platform.SettingsVariable + " names, until SIGTERM",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "check", Usage: "check the settings file, say what is wrong with it and end"},
			&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			settings, err := platform.LoadSettings()
			if err != nil || c.Bool("check") {
				return err
			}
			return serve(settings, c.String("log-level"))
		},
	}
}

func serve(settings *platform.Settings, level string) error {
	output := telemetry.NewWriter(os.Stdout, logLines)
	defer output.Close(logEnd)
	logger, err := telemetry.NewLogger(telemetry.LogConfig{Level: level, Output: output})
	if err != nil {
		return err
	}
	for _, w := range settings.Warnings {
		logger.Warn("setting not used", "why", w)
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryShare))
	}
	defer heap.Start()()
	metrics := telemetry.New(telemetry.Config{
		Tags: map[string]string{"router": settings.Name, "data_centre": settings.DataCentre}, Interval: metricsEvery,
	})
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	g, err := gateway.New(gatewayOptions(settings, logger, metrics))
	if err != nil {
		return err
	}
	g.Start()
	awaitStop(signals, settings, logger)
	cut := g.Stop()
	if cut > 0 {
		return &codedError{errors.Errorf("%d requests were cut off", cut), exitCut}
	}
	return nil
}

// awaitStop returns once the process is to stop. A hangup has the settings read again; what
// has changed in them takes effect at the next start, since all of it belongs to the VM.
func awaitStop(signals <-chan os.Signal, old *platform.Settings, logger *slog.Logger) {
	for s := range signals {
		if s != syscall.SIGHUP {
			return
		}
		settings, err := platform.LoadSettings()
		switch {
		case err != nil:
			logger.Error("settings not reloaded; those in force stay", "err", err)
		case reflect.DeepEqual(settings, old):
			logger.Info("settings reloaded, nothing has changed")
		default:
			logger.Warn("settings have changed; they take effect at the next start")
		}
	}
}

func gatewayOptions(s *platform.Settings, logger *slog.Logger, metrics *telemetry.Telemetry) gateway.Options {
	orders := platform.NewOrders()
	return gateway.Options{
		Name: s.Name, DataCentre: s.DataCentre,
		CallerAddress: s.CallerAddress, ReadyAddress: s.ReadyAddress, MetricsAddress: s.MetricsAddress, PeerAddress: s.PeerAddress,
		Store:    platform.NewStore(s.StoreAddress),
		LeaseMin: s.LeaseMin, StoreHistory: s.History, KnownWithin: min(s.Drain, s.ConfigApply), HoldMax: s.HoldMax, Grace: s.Grace, CPUShare: s.CPUShare,
		RetryShare: s.RetryShare, RetryMin: s.RetryMin, RetryWindow: s.RetryWindow,
		Logger: logger, Telemetry: metrics,
		Adapter: gateway.Adapter{
			Headers: gateway.Headers{
				RequestID: platform.HeaderRequestID, Deadline: platform.HeaderDeadline,
				Expect: platform.HeaderExpect, Key: platform.HeaderKey,
			},
			Dialect: target.Dialect{
				NotRun: platform.HeaderNotRun, Misplaced: []int{http.StatusMisdirectedRequest},
				RequestID: platform.HeaderRequestID, Signature: platform.HeaderStamp,
			},
			ReadyPath: platform.ReadyPath, ConfigPrefix: platform.ConfigPrefix, ConfigKey: platform.ConfigKey,
			TargetPrefix: platform.TargetPrefix,
			DecodeConfig: platform.DecodeConfig, DecodeTarget: platform.DecodeTarget, TargetID: platform.TargetID,
			DecodeLoad: platform.DecodeLoad, SendOrder: orders.Send,
		},
	}
}
