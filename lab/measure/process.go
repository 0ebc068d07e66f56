package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"tarragongw/router"
)

// process is a child process as the parent sees it.
type process struct {
	router.Addresses
	cmd     *exec.Cmd
	in      io.WriteCloser
	replies *bufio.Reader
}

// startProcess runs this command again as a child, or the earlier build of it that
// binary names.
func startProcess(ctx context.Context, procs int, binary string, cfg *childConfig) (*process, error) {
	argument, err := json.Marshal(cfg)
	if err != nil {
		return nil, err
	}
	if binary == "" {
		if binary, err = os.Executable(); err != nil {
			return nil, errors.Wrap(err, "find this command")
		}
	}
	cmd := exec.CommandContext(ctx, binary, childFlag, string(argument))
	cmd.Env = append(os.Environ(), fmt.Sprint("GOMAXPROCS=", procs))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start a child process")
	}
	p := &process{cmd: cmd, in: in, replies: bufio.NewReader(out)}
	if err := p.read(&p.Addresses); err != nil {
		p.stop()
		return nil, err
	}
	return p, nil
}

func (p *process) read(into any) error {
	line, err := p.replies.ReadBytes('\n')
	if err != nil {
		return errors.Wrap(err, "read from a child process")
	}
	return errors.Wrap(json.Unmarshal(line, into), "read from a child process")
}

// usage returns what the child used up to now; with commandRest its garbage is
// collected first.
func (p *process) usage(command string) (*usageReport, error) {
	if _, err := fmt.Fprintln(p.in, command); err != nil {
		return nil, errors.Wrap(err, "ask a child process")
	}
	u := new(usageReport)
	return u, p.read(u)
}

// switches sums how often the child's threads gave their processor up; zero where
// there is no /proc.
func (p *process) switches() uint64 {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var sum uint64
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		for line := range strings.Lines(string(data)) {
			if text, ok := strings.CutPrefix(line, "voluntary_ctxt_switches:"); ok {
				n, _ := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
				sum += n
			}
		}
	}
	return sum
}

// stop ends the child and waits for it.
func (p *process) stop() {
	_ = p.in.Close()
	// A child that was killed at the run's end has nothing more to say.
	_ = p.cmd.Wait()
}

// sumUsage adds up the use of several children.
func sumUsage(processes []*process, command string) (*usageReport, error) {
	sum := new(usageReport)
	for _, p := range processes {
		u, err := p.usage(command)
		if err != nil {
			return nil, err
		}
		sum.CPU += u.CPU
		sum.Mallocs += u.Mallocs
		sum.Alloced += u.Alloced
		sum.Live += u.Live
		sum.Resident += u.Resident
		sum.Moved += u.Moved
	}
	return sum, nil
}
