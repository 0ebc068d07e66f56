package main

import (
	"context"
	"crypto/tls"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"tarragongw/keys"
)

// tlsKeysValid is how long the certificates of a run are valid.
const tlsKeysValid = 24 * time.Hour

const subjectPlain = "plain text"

// measureTLS alternates between two fleets of the same shape, of which one speaks TLS
// on all sides: to a grantor, through two routers, and with a connection for each
// request.
func measureTLS(ctx context.Context, s *settings, t *table) error {
	plain, plainSubjects, err := startTLSFleet(ctx, s, "", "plain, ")
	defer closeFleet(plain, plainSubjects)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "measure-keys")
	if err != nil {
		return errors.Wrap(err, "make a folder for certificates")
	}
	defer os.RemoveAll(folder)
	secure, secureSubjects, err := startTLSFleet(ctx, s, filepath.Join(folder, "keys"), "TLS, ")
	defer closeFleet(secure, secureSubjects)
	if err != nil {
		return err
	}
	if err := runRounds(s.rounds, append(plainSubjects, secureSubjects...)); err != nil {
		return err
	}
	for i := range plainSubjects {
		reportTLS(t, secureSubjects[i], plainSubjects[i])
	}
	return nil
}

// startTLSFleet starts a fleet and its subjects; in plain text where folder is empty.
func startTLSFleet(ctx context.Context, s *settings, folder, prefix string) (*fleet, []*subject, error) {
	size := pathShape
	size.keys = folder
	if folder != "" {
		if err := makeFleetKeys(folder, size); err != nil {
			return nil, nil, err
		}
	}
	f, err := startFleet(ctx, s, size)
	if err != nil {
		return nil, nil, err
	}
	subjects, err := f.subjects(ctx, s, prefix)
	if err != nil {
		return f, subjects, err
	}
	fresh, err := f.freshSubject(ctx, s, prefix)
	if err != nil {
		return f, subjects, err
	}
	return f, append(subjects, fresh), nil
}

func closeFleet(f *fleet, subjects []*subject) {
	closeLoads(subjects)
	if f != nil {
		f.stop()
	}
}

func makeFleetKeys(folder string, size shape) error {
	plan := keys.Plan{Folder: folder, Valid: tlsKeysValid, Now: time.Now()}
	for i := range size.routers {
		plan.Routers = append(plan.Routers, routerName(i))
	}
	for i := range size.targets {
		plan.Targets = append(plan.Targets, targetName(i))
	}
	_, err := keys.Initialise(plan)
	return err
}

// callerTLS is what callers speak; nil is plain text.
func (f *fleet) callerTLS() (*tls.Config, error) {
	if f.keys == "" {
		return nil, nil
	}
	source, err := keys.Open(keys.Files{Table: "callers", CA: keys.CertFile(f.keys, keys.AuthorityCallers), Use: keys.Client}, nil)
	if err != nil {
		return nil, err
	}
	return source.ClientTLS("127.0.0.1"), nil
}

// freshSubject sends the requests of the first way with a connection for each.
func (f *fleet) freshSubject(ctx context.Context, s *settings, prefix string) (*subject, error) {
	subjects, err := f.subjects(ctx, s, prefix)
	if err != nil {
		closeLoads(subjects)
		return nil, err
	}
	closeLoads(subjects[1:])
	first := subjects[0]
	first.name = prefix + "a connection for each request"
	for _, c := range first.load.callers {
		c.fresh = true
	}
	return first, nil
}

func reportTLS(t *table, secure, plain *subject) {
	for _, m := range []struct {
		name, unit    string
		secure, plain []float64
	}{
		{"cpu per request, full load", "us", secure.cpu, plain.cpu},
		{"cpu per request, half load", "us", secure.cpuHalf, plain.cpuHalf},
		{"rate at full load", "req/s", secure.rates, plain.rates},
		{"p50 at half load", "us", secure.p50, plain.p50},
		{"p99 at half load", "us", secure.p99, plain.p99},
		{"allocations per request", "count", secure.allocs, plain.allocs},
		{"bytes allocated per request", "B", secure.bytes, plain.bytes},
	} {
		t.add(plain.name+": "+m.name, m.unit, m.plain...)
		t.add(secure.name+": "+m.name, m.unit, m.secure...).against(subjectPlain, m.secure, m.plain)
	}
}
