package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// guideLine begins the line of the guide that reads by key.
const guideLine = "curl -i '"

// firstRun is the way of somebody new: the clone, the first command of the README and
// the first request that it prints.
type firstRun struct {
	repository string
	// clone is the folder of the clone, and cache that of the build cache.
	clone string
	cache string
}

// firstTimes are the times since the begin in seconds.
type firstTimes struct{ cloned, ready, answered float64 }

// measureFirst takes the time from a fresh clone to the first answered request, once
// with a build cache that is empty and twice with the one that this filled. The cache
// of modules is that of the user and must be filled; nothing is loaded.
func measureFirst(ctx context.Context, _ *settings, t *table) error {
	root, err := exec.CommandContext(ctx, "git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return errors.Wrap(err, "find the repository")
	}
	folder, err := os.MkdirTemp("", "tarragongw-first-*")
	if err != nil {
		return errors.WithStack(err)
	}
	defer os.RemoveAll(folder)
	f := &firstRun{strings.TrimSpace(string(root)), filepath.Join(folder, "clone"), filepath.Join(folder, "cache")}
	for _, caches := range []string{"cold", "warm", "warm again"} {
		load, err := os.ReadFile("/proc/loadavg")
		if err != nil {
			load = []byte("unknown")
		}
		fmt.Fprintf(os.Stderr, "first: build cache %s, load average %s", caches, load)
		times, err := f.run(ctx)
		if err != nil {
			return errors.Wrapf(err, "build cache %s", caches)
		}
		name := "first, build cache " + caches
		t.add(name+", cloned", "s", times.cloned)
		t.add(name+", system ready", "s", times.ready)
		t.add(name+", request answered", "s", times.answered)
	}
	return nil
}

func (f *firstRun) run(ctx context.Context) (times firstTimes, err error) {
	if err := os.RemoveAll(f.clone); err != nil {
		return times, errors.WithStack(err)
	}
	began := time.Now()
	if out, err := exec.CommandContext(ctx, "git", "clone", "--quiet", "--no-local", f.repository, f.clone).CombinedOutput(); err != nil {
		return times, errors.Wrapf(err, "clone: %s", out)
	}
	times.cloned = time.Since(began).Seconds()
	cmd, out, err := f.start(ctx)
	if err != nil {
		return times, err
	}
	defer stopGroup(cmd)
	url, err := firstURL(out)
	if err != nil {
		return times, err
	}
	times.ready = time.Since(began).Seconds()
	if err := answered(ctx, url); err != nil {
		return times, err
	}
	times.answered = time.Since(began).Seconds()
	return times, nil
}

// start runs the README's command in a process group of its own, so that the end
// reaches the program that go run starts.
func (f *firstRun) start(ctx context.Context) (*exec.Cmd, io.Reader, error) {
	cmd := exec.CommandContext(ctx, "go", "run", "./cmd/tarragongw", "dev")
	cmd.Dir = f.clone
	cmd.Env = append(os.Environ(), "GOCACHE="+f.cache, "GOPROXY=off")
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	return cmd, out, errors.WithStack(cmd.Start())
}

// stopGroup ends the group as Ctrl-C does, and waits.
func stopGroup(cmd *exec.Cmd) {
	_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGINT)
	// How it ended is of no matter here.
	_ = cmd.Wait()
}

// firstURL reads the guide up to the request that reads by key.
func firstURL(out io.Reader) (string, error) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if rest, found := strings.CutPrefix(strings.TrimSpace(lines.Text()), guideLine); found {
			url, _, _ := strings.Cut(rest, "'")
			return url, nil
		}
	}
	return "", errors.New("the command ended without its guide")
}

func answered(ctx context.Context, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return errors.WithStack(err)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s was answered with %s", url, resp.Status)
	}
	return nil
}
