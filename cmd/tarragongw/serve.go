package main

import (
	"context"
	"fmt"
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

	"tarragongw/core/dispatch"
	"tarragongw/gateway"
	"tarragongw/heap"
	"tarragongw/platform"
	"tarragongw/target"
	"tarragongw/telemetry"
)

const (
	// memoryShare is the fraction of the VM's memory that the Go runtime may use. The rest is
	// for memory that the runtime does not count, such as socket buffers.
	memoryShare = 0.75
	// logQueueLines is the number of log lines that may be queued for the output: enough for
	// several seconds at full load.
	logQueueLines = 8192
	// logFlushTimeout bounds the writing of queued log lines at exit.
	logFlushTimeout = 200 * time.Millisecond
	// metricsInterval is how often counters are copied to the exported metrics.
	metricsInterval = 5 * time.Second
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one router on the platform until SIGTERM; the environment variable " + platform.SettingsVariable + " names its settings file",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "check", Usage: "check the settings file, report its errors or what holds by it, and exit"},
			&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			settings, err := platform.LoadSettings()
			if err != nil {
				return err
			}
			if c.Bool("check") {
				for _, line := range settings.Describe() {
					fmt.Fprintln(c.Root().Writer, line)
				}
				return nil
			}
			return serve(settings, c.String("log-level"))
		},
	}
}

func serve(settings *platform.Settings, level string) error {
	output := telemetry.NewWriter(os.Stdout, logQueueLines)
	defer output.Close(logFlushTimeout)
	logger, err := telemetry.NewLogger(telemetry.LogConfig{Level: level, Output: output})
	if err != nil {
		return err
	}
	for _, warning := range settings.Warnings {
		logger.Warn("setting not used", "why", warning)
	}
	for _, field := range platform.UnreadSettings() {
		logger.Warn("stated and not read", "in", "settings", "name", field)
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryShare))
	}
	defer heap.Start()()
	metrics := telemetry.New(telemetry.Config{
		Tags: map[string]string{"router": settings.Name, "data_centre": settings.DataCentre}, Interval: metricsInterval,
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
		return &exitError{errors.Errorf("%d requests were cut off", cut), exitRequestsCut}
	}
	return nil
}

// awaitStop returns when a stop signal arrives. SIGHUP reads the settings again and logs
// whether they changed; all settings describe the VM, so changes take effect at the next
// start.
func awaitStop(signals <-chan os.Signal, current *platform.Settings, logger *slog.Logger) {
	for s := range signals {
		if s != syscall.SIGHUP {
			return
		}
		settings, err := platform.LoadSettings()
		switch {
		case err != nil:
			logger.Error("settings not reloaded; the current settings stay in force", "err", err)
		case reflect.DeepEqual(settings, current):
			logger.Info("settings reloaded without changes")
		default:
			logger.Warn("settings have changed; they take effect at the next start")
		}
	}
}

func gatewayOptions(s *platform.Settings, logger *slog.Logger, metrics *telemetry.Telemetry) gateway.Options {
	orders := platform.NewOrderClient(nil)
	return gateway.Options{
		Name: s.Name, DataCentre: s.DataCentre,
		CallerAddress: s.CallerAddress, ReadyAddress: s.ReadyAddress, MetricsAddress: s.MetricsAddress, PeerAddress: s.PeerAddress,
		Store:    platform.NewStore(s.StoreAddress),
		LeaseMin: s.LeaseMin, StoreHistory: s.History, PropagationLimit: min(s.Drain, s.ConfigApply), LeavingLimit: s.Drain, EvacuationLimit: s.EvacuationLimit, MaxGrantTTL: s.MaxGrantTTL, Grace: s.Grace, CPUShare: s.CPUShare, LinkBytesPerSecond: s.LinkBytesPerSecond,
		RetryShare: s.RetryShare, RetryMin: s.RetryMin, RetryWindow: s.RetryWindow,
		Cold:   dispatch.ColdTolerance{Factor: s.ColdFactor, Slack: s.ColdSlack},
		Logger: logger, Telemetry: metrics,
		Adapter: gateway.Adapter{
			Headers: gateway.Headers{
				RequestID: platform.HeaderRequestID, Deadline: platform.HeaderDeadline,
				Expect: platform.HeaderExpect, Key: platform.HeaderKey,
			},
			Dialect: target.Dialect{
				NotRun: platform.HeaderNotRun, NotRunStatuses: []int{http.StatusMisdirectedRequest},
				RequestID: platform.HeaderRequestID, Signature: platform.HeaderStamp,
			},
			ReadyPath: platform.ReadyPath, ConfigPrefix: platform.ConfigPrefix, ConfigKey: platform.ConfigKey,
			EvacuationPrefix: platform.EvacuationPrefix, TargetPrefix: platform.TargetPrefix,
			DecodeConfig: platform.DecodeConfig, DecodeTarget: platform.DecodeTarget, TargetID: platform.TargetID,
			DecodeAnswer: platform.DecodeAnswer, EncodeRefusal: platform.EncodeRefusal, ObserveOrders: orders.Observe, UnreadHeaders: platform.UnreadHeaders,
			UnreadConfigFields: platform.UnreadConfigFields, UnreadEntryFields: platform.UnreadEntryFields, SendOrder: orders.Send, OrderTraffic: orders.Traffic, Warmup: orders.Warmup, AskLimit: orders.AskLimit,
		},
	}
}
