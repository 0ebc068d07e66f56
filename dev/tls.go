package dev

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"tarragongw/config"
	"tarragongw/keys"
	"tarragongw/operator"
	"tarragongw/target/sample"
)

// keysValid is how long the certificates of a system's trial are valid.
const keysValid = 365 * 24 * time.Hour

// KeyPlan returns what keys.Initialise is to make in the folder for the system.
func KeyPlan(folder string, cfg *Config) keys.Plan {
	plan := keys.Plan{Folder: folder, Valid: keysValid, Now: time.Now()}
	for _, dc := range DataCentres(cfg.Model) {
		for i := range max(1, cfg.RoutersPerDataCentre) {
			plan.Routers = append(plan.Routers, RouterName(dc, i))
		}
	}
	for i := range cfg.Model.Targets {
		plan.Targets = append(plan.Targets, cfg.Model.Targets[i].Name)
	}
	return plan
}

// UseKeys names the files of a folder that KeyPlan filled in a router's settings; an
// empty folder leaves them.
func UseKeys(r *config.Router, folder string) {
	if folder == "" {
		return
	}
	files := func(name string) config.CertFiles {
		return config.CertFiles{Cert: keys.CertFile(folder, name), Key: keys.KeyFile(folder, name)}
	}
	r.TLS.Callers.CertFiles = files(keys.CallerCertificate)
	r.TLS.Operator = config.MutualTLS{CertFiles: files(r.Name), CA: keys.CertFile(folder, keys.AuthorityOperators), CRL: keys.RevocationListFile(folder, keys.AuthorityOperators)}
	r.TLS.Peers = config.MutualTLS{CertFiles: files(r.Name), CA: keys.CertFile(folder, keys.AuthorityRouters), CRL: keys.RevocationListFile(folder, keys.AuthorityRouters)}
	r.TLS.Targets = config.TargetsTLS{CertFiles: files(r.Name), CA: keys.CertFile(folder, keys.AuthorityTargets), CRL: keys.RevocationListFile(folder, keys.AuthorityTargets)}
}

func (s *System) targetTLS(c *sample.Config) error {
	folder := s.cfg.Keys
	if folder == "" {
		return nil
	}
	source, err := OpenTargetKeys(folder, c.Name)
	if err != nil {
		return errors.Wrapf(err, "target %s", c.Name)
	}
	s.targetKeys = append(s.targetKeys, source)
	c.TLS = TargetTLS(source)
	return nil
}

// OpenTargetKeys opens a target's files of a folder that KeyPlan filled.
func OpenTargetKeys(folder, name string) (*keys.Source, error) {
	return keys.Open(keys.Files{
		Table: "target " + name, Use: keys.Server,
		Cert: keys.CertFile(folder, name), Key: keys.KeyFile(folder, name), CA: keys.CertFile(folder, keys.AuthorityRouters), CRL: keys.RevocationListFile(folder, keys.AuthorityRouters),
	}, nil)
}

// TargetTLS is for a target's listener; only routers get in.
func TargetTLS(source *keys.Source) *tls.Config {
	return source.MutualTLS(tls.RequireAndVerifyClientCert, "http/1.1")
}

// ReloadTargetKeys makes the targets load their files of Config.Keys.
func (s *System) ReloadTargetKeys() error {
	for _, source := range s.targetKeys {
		if err := source.Reload(); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) scheme() string {
	if s.cfg.Keys == "" {
		return "http://"
	}
	return "https://"
}

// OperatorAs returns a client of the operators' endpoint of the router with the index
// that shows the certificate of the role; none with keys.RoleNone, or in plain text.
func (s *System) OperatorAs(i int, role keys.Role) *operator.Client {
	c := &operator.Client{Base: s.scheme() + s.Routers[i].Addresses().Operator}
	if s.cfg.Keys == "" {
		return c
	}
	c.HTTP = OperatorHTTP(s.cfg.Keys, role)
	return c
}

// OperatorHTTP returns an HTTP client that shows the certificate of the role in a
// folder that KeyPlan filled.
func OperatorHTTP(folder string, role keys.Role) *http.Client {
	files := keys.Files{Table: "operator", CA: keys.CertFile(folder, keys.AuthorityRouters), Use: keys.Client}
	if role != keys.RoleNone {
		files.Cert, files.Key = keys.CertFile(folder, string(role)), keys.KeyFile(folder, string(role))
	}
	source, err := keys.Open(files, nil)
	if err != nil {
		return &http.Client{Transport: failing{err}}
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: source.ClientTLS(""), DisableKeepAlives: true}}
}

// failing answers each call with the error for which there is no client.
type failing struct{ err error }

// RoundTrip implements http.RoundTripper.
func (f failing) RoundTrip(*http.Request) (*http.Response, error) { return nil, f.err }
