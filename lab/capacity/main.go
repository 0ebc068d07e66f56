package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Paths from the root of the repository, where the command is run.
const (
	sweepsPath = "lab/capacity/sweeps"
	pagePath   = "docs/CAPACITY.md"
)

// deployment is one installation's sweeps on the present code and on an earlier version.
type deployment struct {
	name          string
	before, after *sweep
}

// deploymentNames are the installations whose sweeps are committed, as NAME-before.txt
// and NAME.txt.
var deploymentNames = []string{"shirehelp-gw-large", "balik-gw", "pab-gw"}

func main() {
	write := flag.Bool("write", false, "replace the tables of the page")
	flag.Parse()
	if err := run(*write); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(write bool) error {
	deployments, err := loadDeployments(sweepsPath)
	if err != nil {
		return err
	}
	tables, err := render(deployments)
	if err != nil {
		return err
	}
	if write {
		return writePage(pagePath, tables)
	}
	fmt.Print(tables)
	return nil
}

func loadDeployments(dir string) ([]deployment, error) {
	deployments := make([]deployment, 0, len(deploymentNames))
	for _, name := range deploymentNames {
		before, err := loadSweep(filepath.Join(dir, name+"-before.txt"))
		if err != nil {
			return nil, err
		}
		after, err := loadSweep(filepath.Join(dir, name+".txt"))
		if err != nil {
			return nil, err
		}
		deployments = append(deployments, deployment{name, before, after})
	}
	return deployments, nil
}

func loadSweep(path string) (*sweep, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open sweep")
	}
	defer f.Close()
	s, err := parseSweep(f)
	return s, errors.Wrapf(err, "sweep %s", path)
}
