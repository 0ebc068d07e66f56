package main

import (
	"context"
	"crypto"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"tarragongw/keys"
)

// Names of the flags for TLS.
const (
	flagCA   = "ca"
	flagCert = "cert"
	flagKey  = "key"
)

// developmentValidity is the validity period of the certificates that keys init makes.
const developmentValidity = 90 * 24 * time.Hour

func keyFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagCA, Usage: "`FILE` with the authorities of the routers' certificates", Sources: cli.EnvVars("TARRAGON_CA")},
		&cli.StringFlag{Name: flagCert, Usage: "`FILE` with your certificate", Sources: cli.EnvVars("TARRAGON_CERT")},
		&cli.StringFlag{Name: flagKey, Usage: "`FILE` with its key", Sources: cli.EnvVars("TARRAGON_KEY")},
	}
}

// transport returns a plain-text transport if no TLS file is named. If the files can't be
// used, the transport returns the error from each call.
func transport(c *cli.Command) http.RoundTripper {
	files := keys.Files{Table: "--ca, --cert and --key", CA: c.String(flagCA), Cert: c.String(flagCert), Key: c.String(flagKey), Use: keys.Client}
	if files.CA == "" && files.Cert == "" && files.Key == "" {
		return http.DefaultTransport
	}
	if (files.Cert == "") != (files.Key == "") {
		return failingTransport{errors.New("--cert and --key belong together; name both")}
	}
	source, err := keys.Open(files, nil)
	if err != nil {
		return failingTransport{err}
	}
	return &http.Transport{TLSClientConfig: source.ClientTLS(""), DisableKeepAlives: true}
}

// failingTransport fails each call with the error that prevents connections.
type failingTransport struct{ err error }

// RoundTrip implements http.RoundTripper.
func (f failingTransport) RoundTrip(*http.Request) (*http.Response, error) { return nil, f.err }

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "make certificates for development, and check those in use",
		Commands: []*cli.Command{
			{
				Name: "init", Usage: "make authorities and certificates for development", ArgsUsage: "DIR",
				Flags: []cli.Flag{
					&cli.StringSliceFlag{Name: "for-router", Value: []string{"router-1", "router-2", "router-3"}, Usage: "`NAME` of a router; may be repeated"},
					&cli.StringSliceFlag{Name: "for-target", Usage: "`NAME` of a target; may be repeated"},
					&cli.StringSliceFlag{Name: "for-caller", Usage: "`NAME` of a caller; may be repeated"},
					&cli.StringSliceFlag{Name: "host", Usage: "further `NAME` or IP number of the listeners; may be repeated"},
				},
				Action: initKeys,
			},
			{Name: "revoke", Usage: "add certificates to the revocation lists of a folder that init made", ArgsUsage: "DIR FILE...", Action: revokeKeys},
			{Name: "check", Usage: "print what files contain, whether it is valid and for how long", ArgsUsage: "FILE...", Action: checkKeys},
		},
	}
}

func initKeys(_ context.Context, c *cli.Command) error {
	folder, err := argument(c, "DIR")
	if err != nil {
		return err
	}
	files, err := keys.Initialise(keys.Plan{
		Folder: folder, Routers: c.StringSlice("for-router"), Targets: c.StringSlice("for-target"),
		Callers: c.StringSlice("for-caller"),
		Hosts:   c.StringSlice("host"), Valid: developmentValidity, Now: time.Now(),
	})
	if err != nil {
		return err
	}
	return show(c, files, func(out io.Writer, files []string) {
		for _, file := range files {
			fmt.Fprintln(out, file)
		}
		fmt.Fprintln(out, "For development: anyone who has the authorities' keys can impersonate anyone.")
	})
}

// revokeKeys signs a new revocation list for each authority that issued a named certificate.
func revokeKeys(_ context.Context, c *cli.Command) error {
	if c.Args().Len() < 2 {
		return errors.New("give a folder and certificates: tarragonctl keys revoke DIR FILE...")
	}
	files, err := keys.Revoke(keys.Revocation{
		Folder: c.Args().First(), Files: c.Args().Tail(), Now: time.Now(), Valid: developmentValidity,
	})
	if err != nil {
		return err
	}
	return show(c, files, func(out io.Writer, files []string) {
		for _, file := range files {
			fmt.Fprintln(out, file)
		}
		fmt.Fprintln(out, "Install these at all routers; the event keys_reloaded shows when they are in force.")
	})
}

// keyReport is the result of keys check for one file.
type keyReport struct {
	File string `json:"file"`
	// Holds describes the content of the file.
	Holds    string `json:"holds"`
	DaysLeft int    `json:"days_left,omitempty"`
	// Fault is empty if the file is valid.
	Fault string `json:"fault,omitempty"`
}

func checkKeys(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errors.New("give files: tarragonctl keys check FILE...")
	}
	reports, faults := checkFiles(c.Args().Slice(), time.Now())
	if err := show(c, reports, showKeys); err != nil {
		return err
	}
	if faults > 0 {
		return errors.Errorf("%d of %d files are not valid", faults, len(reports))
	}
	return nil
}

func showKeys(out io.Writer, reports []keyReport) {
	for _, r := range reports {
		verdict := "valid"
		if r.Fault != "" {
			verdict = "NOT VALID: " + r.Fault
		}
		fmt.Fprintf(out, "%s: %s: %s\n", r.File, r.Holds, verdict)
	}
}

// checkFiles checks each file. A private key must match one of the certificates among the
// files, if there are any.
func checkFiles(files []string, now time.Time) (reports []keyReport, faults int) {
	var leaves []*x509.Certificate
	certificates := make(map[string][]*x509.Certificate)
	for _, file := range files {
		if certs, err := keys.ReadCertificates(file); err == nil {
			certificates[file] = certs
			leaves = append(leaves, certs[0])
		}
	}
	for _, file := range files {
		r := keyReport{File: file, Holds: "nothing known"}
		if certs := certificates[file]; certs != nil {
			r.describe(certs, now)
		} else if lists, err := keys.ReadRevocationLists(file); err == nil {
			r.describeLists(lists, now)
		} else if key, err := keys.ReadKey(file); err == nil {
			r.describeKey(key, leaves)
		} else {
			r.Fault = err.Error()
		}
		if r.Fault != "" {
			faults++
		}
		reports = append(reports, r)
	}
	return reports, faults
}

func (r *keyReport) describe(certs []*x509.Certificate, now time.Time) {
	leaf := certs[0]
	r.DaysLeft = keys.DaysLeft(leaf.NotAfter, now)
	kind := "certificate"
	if leaf.IsCA {
		kind = "authority"
	}
	r.Holds = fmt.Sprintf("%s %q, role %s, names %s, issued by %q, until %s, %d days left",
		kind, leaf.Subject.CommonName, orNone(strings.Join(leaf.Subject.OrganizationalUnit, ", ")), orNone(names(leaf)),
		leaf.Issuer.CommonName, leaf.NotAfter.UTC().Format(time.RFC3339), r.DaysLeft)
	for _, one := range certs {
		switch {
		case now.Before(one.NotBefore):
			r.Fault = fmt.Sprintf("%q is valid only from %s", one.Subject.CommonName, one.NotBefore.UTC().Format(time.RFC3339))
		case now.After(one.NotAfter):
			r.Fault = fmt.Sprintf("%q has ended; have a new one issued", one.Subject.CommonName)
		}
	}
}

func names(c *x509.Certificate) string {
	all := append([]string(nil), c.DNSNames...)
	for _, ip := range c.IPAddresses {
		all = append(all, ip.String())
	}
	return strings.Join(all, ", ")
}

func (r *keyReport) describeKey(key crypto.Signer, leaves []*x509.Certificate) {
	r.Holds = "private key"
	if len(leaves) == 0 {
		return
	}
	for _, leaf := range leaves {
		if keys.Matches(leaf, key) {
			r.Holds = fmt.Sprintf("private key of %q", leaf.Subject.CommonName)
			return
		}
	}
	r.Fault = "it is the key of none of the certificates that were named"
}

func (r *keyReport) describeLists(lists []*x509.RevocationList, now time.Time) {
	var held []string
	for _, list := range lists {
		held = append(held, fmt.Sprintf("revocation list %s of %q with %d certificates, due again at %s",
			list.Number, list.Issuer.CommonName, len(list.RevokedCertificateEntries), list.NextUpdate.UTC().Format(time.RFC3339)))
		if now.After(list.NextUpdate) {
			r.Fault = fmt.Sprintf("a newer list of %q is due; have it written", list.Issuer.CommonName)
		}
	}
	r.Holds = strings.Join(held, "; ")
}
