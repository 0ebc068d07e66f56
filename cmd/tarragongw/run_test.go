package main

import (
	"context"
	"crypto/tls"
	"net/http/httptest"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/config"
	"tarragongw/keys"
	"tarragongw/kv/httpstore"
	"tarragongw/kv/standin"
	"tarragongw/operator"
	"tarragongw/router"
)

// startTLSPlatform serves a stand-in platform over TLS with the named certificate of the
// folder, and returns its URL.
func startTLSPlatform(t *testing.T, folder, name string) string {
	t.Helper()
	store := standin.New(standin.Config{})
	server := httptest.NewUnstartedServer(httpstore.NewHandler(func(client string) httpstore.Backend { return store.Client(client) }))
	source, err := keys.Open(keys.Files{Cert: keys.CertFile(folder, name), Key: keys.KeyFile(folder, name), Use: keys.Server}, nil)
	assert.NilError(t, err)
	// StartTLS would use a built-in test certificate.
	server.Listener = tls.NewListener(server.Listener, source.ServerTLS())
	server.Start()
	t.Cleanup(server.Close)
	return "https://" + server.Listener.Addr().String()
}

// createKeys writes a set of test authorities and certificates into a folder.
func createKeys(t *testing.T) string {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "keys")
	_, err := keys.Initialise(keys.Plan{Folder: folder, Routers: []string{"r1"}, Valid: 365 * 24 * time.Hour, Now: time.Now()})
	assert.NilError(t, err)
	return folder
}

// A connection to the platform requires a certificate of the configured authority, and a
// changed authority file takes effect without a new client.
func TestPlatformOverTLS(t *testing.T) {
	folder := createKeys(t)
	settings := config.Defaults()
	settings.Name = "r1"
	settings.Store.Timeout = testTimeout
	settings.Store.Addresses = []string{startTLSPlatform(t, folder, keys.CallerCertificate)}
	settings.TLS.Platform.CA = filepath.Join(t.TempDir(), "ca.crt")
	copyFile(t, keys.CertFile(folder, keys.AuthorityOperators), settings.TLS.Platform.CA)
	clients, err := newPlatformClients(&settings)
	assert.NilError(t, err)
	defer clients.close()
	_, _, err = clients.store.List(t.Context(), "x")
	assert.ErrorContains(t, err, "unknown authority")
	copyFile(t, keys.CertFile(folder, keys.AuthorityCallers), settings.TLS.Platform.CA)
	assert.NilError(t, clients.keys[0].Reload())
	_, _, err = clients.store.List(t.Context(), "x")
	assert.NilError(t, err)

	settings.TLS.Platform.CA = filepath.Join(t.TempDir(), "none")
	_, err = newPlatformClients(&settings)
	assert.ErrorContains(t, err, "tls.platform")
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	data, err := os.ReadFile(from)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(to, data, 0o600))
}

// SIGHUP reloads the certificate files without stopping the router; SIGTERM stops it.
func TestSIGHUPReloadsKeys(t *testing.T) {
	folder := createKeys(t)
	settings := config.Defaults()
	settings.Name, settings.DataCentre = "r1", "hall"
	settings.Listen.Caller, settings.Listen.Operator, settings.Listen.Peer = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.TLS.Callers.CertFiles = config.CertFiles{Cert: keys.CertFile(folder, keys.CallerCertificate), Key: keys.KeyFile(folder, keys.CallerCertificate)}
	client := standin.New(standin.Config{}).Client("r1")
	r, err := router.New(router.Options{Settings: &settings, Store: client, Directory: client, KeyTicks: make(chan time.Time)})
	assert.NilError(t, err)
	r.Start()
	defer r.Abort()
	signals, hangups := make(chan os.Signal), make(chan os.Signal)
	done := make(chan struct{})
	go func() {
		defer close(done)
		handleSignals(context.Background(), r, signals, hangups)
	}()
	hangups <- syscall.SIGHUP
	c := &operator.Client{Base: "http://" + r.Addresses().Operator}
	eventually(t, "the files are loaded again", func() bool {
		events, err := c.Events(t.Context(), time.Hour)
		assert.NilError(t, err)
		for _, e := range events {
			if e.Kind == "keys_reloaded" {
				return true
			}
		}
		return false
	})
	signals <- syscall.SIGTERM
	<-done
}
