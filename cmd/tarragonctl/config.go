package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"tarragongw/config"
	"tarragongw/core/model"
	"tarragongw/operator"
)

// baseFile is the file next to the TOML files that holds the revision they are based on.
const baseFile = ".revision"

const flagBase = "base"

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "read settings files and report every error with file, line and suggested fix",
		ArgsUsage: "FOLDER",
		Action: func(_ context.Context, c *cli.Command) error {
			m, err := modelArgument(c)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.Root().Writer, "ok: %d services, %d targets, %d ranges, %d callers, %d selectors\n",
				len(m.Services), len(m.Targets), len(m.Ranges), len(m.Callers), len(m.Selectors))
			return err
		},
	}
}

func baseFlag() cli.Flag {
	return &cli.Uint64Flag{
		Name:  flagBase,
		Usage: "`REVISION` that the files were edited from; default: the one that apply or get wrote next to them, else the current one",
	}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put the settings files in force",
		ArgsUsage: "FOLDER",
		Flags:     []cli.Flag{baseFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return submit(ctx, c, false)
		},
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what apply would change",
		ArgsUsage: "FOLDER",
		Flags:     []cli.Flag{baseFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return submit(ctx, c, true)
		},
	}
}

func submit(ctx context.Context, c *cli.Command, dryRun bool) error {
	m, err := modelArgument(c)
	if err != nil {
		return err
	}
	folder := c.Args().First()
	base, err := baseRevision(ctx, c, folder)
	if err != nil {
		return err
	}
	data, err := config.Encode(m)
	if err != nil {
		return err
	}
	reply, err := client(c).Apply(ctx, &operator.ApplyRequest{
		Base:   base,
		Author: c.String(flagAuthor),
		Model:  data,
		DryRun: dryRun,
	})
	if err != nil {
		return err
	}
	if !dryRun {
		if err := writeBase(folder, reply.Revision); err != nil {
			return err
		}
	}
	return show(c, reply, showApplied)
}

func modelArgument(c *cli.Command) (*model.Model, error) {
	folder, err := argument(c, "FOLDER")
	if err != nil {
		return nil, err
	}
	return config.LoadModel(folder)
}

// baseRevision returns the revision that the files were edited from: the value of --base,
// else the content of baseFile, else the revision in force.
func baseRevision(ctx context.Context, c *cli.Command, folder string) (uint64, error) {
	if c.IsSet(flagBase) {
		return c.Uint64(flagBase), nil
	}
	text, err := os.ReadFile(basePath(folder))
	if err == nil {
		base, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
		return base, errors.Wrapf(err, "read %s; delete it and give --base", basePath(folder))
	}
	if !os.IsNotExist(err) {
		return 0, errors.Wrap(err, "read the base revision")
	}
	current, err := client(c).Config(ctx)
	if err != nil {
		return 0, err
	}
	return current.Revision, nil
}

func writeBase(folder string, revision uint64) error {
	text := strconv.FormatUint(revision, 10) + "\n"
	return errors.Wrap(os.WriteFile(basePath(folder), []byte(text), 0o644), "write the base revision")
}

// basePath returns the path of baseFile: in the folder, or next to the file if the
// settings are a single file.
func basePath(folder string) string {
	if info, err := os.Stat(folder); err == nil && !info.IsDir() {
		return filepath.Join(filepath.Dir(folder), baseFile)
	}
	return filepath.Join(folder, baseFile)
}

// configFile is the name of the file that get config --out writes.
const configFile = "tarragon.toml"

func getConfigCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "print the configuration as TOML, or write it to a folder to edit and apply",
		Flags: []cli.Flag{&cli.StringFlag{Name: "out", Usage: "`FOLDER` to write " + configFile + " and its revision to"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			reply, err := client(c).Config(ctx)
			if err != nil {
				return err
			}
			m, err := config.Decode(reply.Model)
			if err != nil {
				return err
			}
			if folder := c.String("out"); folder != "" {
				return writeConfig(folder, reply.Revision, config.Format(m))
			}
			return show(c, reply, func(out io.Writer, r *operator.Config) {
				fmt.Fprintf(out, "%s", config.Format(m))
			})
		},
	}
}

func writeConfig(folder string, revision uint64, text []byte) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "create the folder")
	}
	if err := os.WriteFile(filepath.Join(folder, configFile), text, 0o644); err != nil {
		return errors.Wrap(err, "write the configuration")
	}
	return writeBase(folder, revision)
}

func showApplied(out io.Writer, reply *operator.ApplyReply) {
	for _, change := range reply.Changes {
		fmt.Fprintln(out, " ", change)
	}
	merged := ""
	if reply.Merged {
		merged = ", merged with another operator's changes"
	}
	fmt.Fprintf(out, "revision %d: %d changes%s\n", reply.Revision, len(reply.Changes), merged)
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "mark a target as leaving: its keys move away and it gets no new work",
		ArgsUsage: "TARGET",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "undo", Usage: "remove the mark"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := argument(c, "TARGET")
			if err != nil {
				return err
			}
			reply, err := client(c).Drain(ctx, &operator.DrainRequest{
				Target: name,
				Undo:   c.Bool("undo"),
				Author: c.String(flagAuthor),
			})
			if err != nil {
				return err
			}
			return show(c, reply, showApplied)
		},
	}
}
