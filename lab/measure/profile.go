package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const profileTime = 4 * time.Second

// profileAll writes profiles of the routers under full load, one pair for each way
// and process.
func profileAll(ctx context.Context, directory string, subjects []*subject) error {
	for _, s := range subjects {
		if len(s.processes) == 0 || s.processes[0].Operator == "" {
			continue
		}
		failed := make(chan error, 2*len(s.processes))
		for i, p := range s.processes {
			base := filepath.Join(directory, fmt.Sprintf("%s-%d", strings.NewReplacer(" ", "-", ",", "").Replace(s.name), i))
			query := fmt.Sprintf("?seconds=%d", int(profileTime.Seconds()))
			go func() { failed <- fetch(ctx, "http://"+p.Operator+"/debug/pprof/profile"+query, base+"-cpu.pprof") }()
			go func() { failed <- fetch(ctx, "http://"+p.Operator+"/debug/pprof/allocs"+query, base+"-allocs.pprof") }()
		}
		if _, err := s.load.run(profileTime+time.Second, 0); err != nil {
			return err
		}
		for range cap(failed) {
			if err := <-failed; err != nil {
				return err
			}
		}
	}
	return nil
}

// profileRest writes a processor profile of each router at rest, all of the same
// time: one alone has too few samples, but pprof adds up what it is given.
func (f *fleet) profileRest(ctx context.Context, directory string, routers int) error {
	query := fmt.Sprintf("?seconds=%d", int(controlTime.Seconds()))
	failed := make(chan error, len(f.routers))
	for i, p := range f.routers {
		name := fmt.Sprintf("rest-%d-%d-cpu.pprof", routers, i)
		go func() {
			failed <- fetch(ctx, "http://"+p.Operator+"/debug/pprof/profile"+query, filepath.Join(directory, name))
		}()
	}
	var first error
	for range f.routers {
		if err := <-failed; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func fetch(ctx context.Context, url, path string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "fetch a profile")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "fetch a profile")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("fetch a profile: %s: %s", resp.Status, data)
	}
	return os.WriteFile(path, data, 0o644)
}
