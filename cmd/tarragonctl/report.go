package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"tarragongw/operator"
)

// reportMode is the mode of the report file. Others may read it: it names units of keys
// but no callers.
const reportMode = 0o644

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "write a page with plots of the last hours and the events of that time",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "since", Value: time.Hour, Usage: "how far back, as a `TIME` such as 30m; routers keep two hours"},
			&cli.StringFlag{Name: "out", Value: "report.html", Usage: "`FILE` to write"},
		},
		Action: runReport,
	}
}

// routerReport is one router's data for a report.
type routerReport struct {
	Series *operator.Series
	Events *operator.EventPage
}

// reportSummary is the output of the report command.
type reportSummary struct {
	File    string         `json:"file"`
	Routers int            `json:"routers"`
	Silent  []silentRouter `json:"silent"`
}

func runReport(ctx context.Context, c *cli.Command) error {
	since := c.Duration("since")
	if since <= 0 {
		return errors.New("--since must be above zero")
	}
	now := time.Now()
	answers, err := queryAll(ctx, client(c), func(ctx context.Context, c *operator.Client) (routerReport, error) {
		return askReport(ctx, c, since)
	})
	if err != nil {
		return err
	}
	page, err := newPage(answers, now.Add(-since), now)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, page); err != nil {
		return errors.Wrap(err, "write the page")
	}
	file := c.String("out")
	if err := os.WriteFile(file, out.Bytes(), reportMode); err != nil {
		return errors.Wrap(err, "write the page")
	}
	summary := reportSummary{File: file, Routers: len(answers), Silent: []silentRouter{}}
	for _, a := range answers {
		if a.Err != nil {
			summary.Silent = append(summary.Silent, silentRouter{Router: a.Router, State: a.State, Cause: a.Err.Error()})
		}
	}
	return show(c, summary, showSummary)
}

func askReport(ctx context.Context, c *operator.Client, since time.Duration) (routerReport, error) {
	series, err := c.Series(ctx, since)
	if err != nil {
		return routerReport{}, err
	}
	events, err := c.EventPage(ctx, since)
	return routerReport{Series: series, Events: events}, err
}

func showSummary(out io.Writer, s reportSummary) {
	fmt.Fprintf(out, "%s: %d of %d routers answered\n", s.File, s.Routers-len(s.Silent), s.Routers)
	for _, r := range s.Silent {
		fmt.Fprintf(out, "no answer from router %s (%s): %s\n", r.Router, r.State, r.Cause)
	}
}
