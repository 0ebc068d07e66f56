package dev

import (
	"fmt"
	"io"

	"tarragongw/core/model"
	"tarragongw/operator"
)

// sampleKey is the key in the guide's lines.
const sampleKey = "kiosk-7"

// PrintGuide prints where everything listens and lines for a shell: a read by key, a
// write that runs at most once, an operator's change and one key's owner explained.
func (s *System) PrintGuide(out io.Writer) {
	fmt.Fprintf(out, "%d targets, and a platform's stand-in at %s\n", len(s.Targets), s.PlatformURL)
	for _, r := range s.Routers {
		a := r.Addresses()
		fmt.Fprintf(out, "router %s: callers http://%s, operators http://%s\n", r.Name(), a.Caller, a.Operator)
	}
	a := s.Routers[0].Addresses()
	fmt.Fprintln(out, "\nTry in another terminal:")
	read, write := guideServices(s.cfg.Model)
	if read != nil {
		step(out, "read by key", "curl -i %s", requestLine(read, a.Caller, sampleKey))
		step(out, "write; it runs at most once", "curl -i -X POST -d 'hello' %s", requestLine(write, a.Caller, sampleKey))
	}
	step(out, "an operator's change: take a target out of work",
		"curl -s -X POST -d '{\"target\": %q, \"author\": \"me\"}' 'http://%s%s'", s.cfg.Model.Targets[0].Name, a.Operator, operator.PathDrain)
	if read != nil {
		step(out, "who owns the key, and why",
			"curl -s 'http://%s%s?service=%s&key=%s'", a.Operator, operator.PathExplainKey, read.Name, sampleKey)
	}
	step(out, "what is wrong, and what to do", "go run ./cmd/tarragonctl --router http://%s status", a.Operator)
	fmt.Fprintln(out)
}

// step prints a line for the shell under what it is for.
func step(out io.Writer, what, format string, args ...any) {
	fmt.Fprintf(out, "  # %s\n  %s\n", what, fmt.Sprintf(format, args...))
}

// guideServices returns the service to read from and that to write to, those
// divided by key first.
func guideServices(m *model.Model) (read, write *model.Service) {
	for i := range m.Services {
		if m.Services[i].Division != model.ByKey {
			continue
		}
		if read == nil {
			read = &m.Services[i]
		} else if write == nil {
			write = &m.Services[i]
		}
	}
	if write == nil {
		write = read
	}
	return read, write
}

// requestLine is the quoted URL, with header options before it, of a request for
// the key.
func requestLine(s *model.Service, address, key string) string {
	path := s.PathPrefix
	options := ""
	switch s.Key.From {
	case model.FromPath:
		for range s.Key.Segment {
			path += "/x"
		}
		path += "/" + key
	case model.FromQuery:
		path += "?" + s.Key.Name + "=" + key
	case model.FromHeader:
		options = fmt.Sprintf("-H '%s: %s' ", s.Key.Name, key)
		path += "/" + key
	}
	if len(s.Hosts) > 0 {
		options += fmt.Sprintf("-H 'Host: %s' ", s.Hosts[0])
	}
	return fmt.Sprintf("%s'http://%s%s'", options, address, path)
}
