package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"tarragongw/config"
	"tarragongw/core/model"
	"tarragongw/dev"
	"tarragongw/examples"
	"tarragongw/telemetry"
)

const (
	// devStartLimit bounds the start-up of the dev command's system, and devStopLimit its
	// graceful stop.
	devStartLimit = 20 * time.Second
	devStopLimit  = 10 * time.Second
)

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a small complete system on loopback: a simulated platform, targets and a router in each data centre",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "example", Value: "shiretoko", Usage: "`NAME` of the built-in example to run: shiretoko or balik-paninda"},
			&cli.StringFlag{Name: "model", Usage: "`FOLDER` with your own model files, instead of --example"},
			&cli.DurationFlag{Name: "for", Usage: "stop automatically after this `TIME`"},
			&cli.StringFlag{Name: "log", Value: "warn", Usage: "lowest `LEVEL` to log"},
		},
		Action: runDev,
	}
}

func runDev(ctx context.Context, c *cli.Command) error {
	m, err := devModel(c)
	if err != nil {
		return err
	}
	logger, err := telemetry.NewLogger(telemetry.LogConfig{Level: c.String("log")})
	if err != nil {
		return err
	}
	ctx, stopSignals := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stopSignals()
	startCtx, cancel := context.WithTimeout(ctx, devStartLimit)
	defer cancel()
	startTime := time.Now()
	system, err := dev.Start(startCtx, dev.Config{Model: m, Logger: logger})
	if err != nil {
		return err
	}
	out := c.Root().Writer
	fmt.Fprintf(out, "Ready after %d ms; Ctrl-C stops it.\n", time.Since(startTime).Milliseconds())
	system.PrintGuide(out)
	waitForStop(ctx, c.Duration("for"))
	return stopDev(system, out)
}

func devModel(c *cli.Command) (*model.Model, error) {
	if folder := c.String("model"); folder != "" {
		return config.LoadModel(folder)
	}
	name := c.String("example")
	if name != "shiretoko" && name != "balik-paninda" {
		return nil, errors.Errorf("--example %q is not a built-in example; use shiretoko or balik-paninda, or --model FOLDER", name)
	}
	return config.LoadModelFS(examples.FS, name)
}

// waitForStop blocks until ctx is done or, if d is positive, until d has passed.
func waitForStop(ctx context.Context, d time.Duration) {
	if d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d)
		defer cancel()
	}
	<-ctx.Done()
}

func stopDev(system *dev.System, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), devStopLimit)
	defer cancel()
	fmt.Fprintln(out, "Stopping the routers one by one.")
	cut := system.Stop(ctx)
	fmt.Fprintf(out, "Stopped; %d requests were cut off.\n", cut)
	if cut > 0 {
		return &exitError{errors.Errorf("%d requests were cut off", cut), exitRequestsCut}
	}
	return nil
}
