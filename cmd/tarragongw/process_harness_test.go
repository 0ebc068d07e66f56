package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/config"
	"tarragongw/core/model"
	"tarragongw/examples"
	"tarragongw/internal/syncbuffer"
	"tarragongw/internal/waittest"
	"tarragongw/kv"
	"tarragongw/kv/httpstore"
	"tarragongw/kv/standin"
	"tarragongw/operator"
	"tarragongw/target/sample"
)

const (
	// processCentre is the data centre of all processes.
	processCentre = "kushiro-hall"
	// targetWork is what each request takes at a target.
	targetWork = 3 * time.Millisecond
)

// installation is a platform and targets in the test's process, and routers in
// processes of their own.
type installation struct {
	t       *testing.T
	bin     string
	files   string
	model   *model.Model
	store   *standin.Platform
	url     string
	log     *sample.Log
	routers []*process
}

// process is one router.
type process struct {
	name                   string
	caller, operator, peer string
	settings               string
	cmd                    *exec.Cmd
	output                 *syncbuffer.Buffer
	ended                  chan error
}

// install builds the binaries and starts the platform and the targets.
func install(t *testing.T, routers ...string) *installation {
	t.Helper()
	return installWith(t, func(*model.Model) {}, routers...)
}

// installWith is install with the model changed before the targets start.
func installWith(t *testing.T, change func(*model.Model), routers ...string) *installation {
	t.Helper()
	in := &installation{t: t, bin: t.TempDir(), files: t.TempDir(), log: sample.NewLog(1_000_000)}
	buildCommands(t, in.bin)
	in.startPlatform()
	in.startTargets(change)
	ports := freeAddresses(t, 3*len(routers))
	for i, name := range routers {
		p := &process{name: name, caller: ports[3*i], operator: ports[3*i+1], peer: ports[3*i+2]}
		p.settings = filepath.Join(in.files, name+".toml")
		assert.NilError(t, os.WriteFile(p.settings, []byte(in.settingsOf(p)), 0o600))
		in.routers = append(in.routers, p)
	}
	in.list()
	return in
}

// Ports of routers are chosen below those that the system gives to outgoing connections:
// one of these could take a port between its choice and the start of the router that is
// to listen on it, which then ends with "address already in use".
const (
	firstPort = 20000
	portCount = 12000
)

// freeAddresses finds ports that nobody listens on: the settings of the routers and
// the platform's list name each other's before any of them runs.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	// Test binaries that run beside each other begin at different ports.
	start := os.Getpid() * 101
	for i := 0; len(addresses) < n; i++ {
		assert.Assert(t, i < portCount, "too few free ports")
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(start+i)%portCount)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer l.Close()
		addresses = append(addresses, address)
	}
	return addresses
}

func (in *installation) startPlatform() {
	in.store = standin.New(standin.Config{})
	handler := httpstore.NewHandler(func(client string) httpstore.Backend { return in.store.Client(client) })
	server := httptest.NewServer(handler)
	in.t.Cleanup(server.CloseClientConnections)
	in.url = server.URL
}

func (in *installation) startTargets(change func(*model.Model)) {
	m, err := config.LoadModelFS(examples.FS, "shiretoko")
	assert.NilError(in.t, err)
	change(m)
	for i := range m.Targets {
		spec := &m.Targets[i]
		server := sample.New(sample.Config{
			Name:      spec.Name,
			Slots:     spec.Slots,
			Grants:    spec.Grants,
			Undivided: m.Service(spec.Service).Division == model.Any,
			Work:      targetWork,
			Log:       in.log,
		})
		assert.NilError(in.t, server.Start())
		in.t.Cleanup(server.Close)
		spec.Address = server.Addr()
		spec.DataCentre = processCentre
	}
	in.model = m
	folder := filepath.Join(in.files, "model")
	assert.NilError(in.t, os.MkdirAll(folder, 0o700))
	assert.NilError(in.t, os.WriteFile(filepath.Join(folder, "model.toml"), config.Format(m), 0o600))
}

func (in *installation) settingsOf(p *process) string {
	return fmt.Sprintf(`name = %q
data_centre = %q
[listen]
caller = %q
operator = %q
peer = %q
[store]
addresses = [%q]
[vms]
address = %q
every = "200ms"
[drain]
not_ready = "500ms"
[limits]
own_delay = "0s" # a busy machine would make the routers refuse work
`, p.name, processCentre, p.caller, p.operator, p.peer, in.url, in.url)
}

// list puts all routers onto the platform's list of VMs.
func (in *installation) list() {
	var vms []kv.VM
	for _, p := range in.routers {
		vms = append(vms, kv.VM{Name: p.name, DataCentre: processCentre, PeerAddress: p.peer})
	}
	in.store.SetVMs(vms)
}

// start runs a router as a process, which ends at the latest with the test.
func (in *installation) start(p *process) {
	in.t.Helper()
	p.launch(in.t, exec.Command(filepath.Join(in.bin, "tarragongw"), "run", "--config", p.settings))
}

// buildCommands builds the binaries into a folder.
func buildCommands(t *testing.T, folder string) {
	t.Helper()
	build := exec.Command("go", "build", "-o", folder+string(filepath.Separator), "./cmd/...")
	build.Dir = filepath.Join("..", "..")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, string(out))
}

// shownLines is how many of its last lines a process shows where its test has failed.
const shownLines = 60

// launch runs the process by a command; it ends at the latest with the test.
func (p *process) launch(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	p.output = &syncbuffer.Buffer{}
	cmd.Stdout, cmd.Stderr = p.output, p.output
	assert.NilError(t, cmd.Start())
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	p.cmd, p.ended = cmd, ended
	t.Cleanup(func() {
		// A process that has ended can't be killed again; that is what is wanted.
		_ = cmd.Process.Kill()
		if t.Failed() {
			t.Logf("%s:\n%s", p.name, lastLines(p.output.String(), shownLines))
		}
	})
}

func lastLines(text string, n int) string {
	lines := strings.Split(text, "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// exitCode waits for the end of the process.
func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	select {
	case <-p.ended:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(patience):
		t.Fatalf("%s does not end", p.name)
		return 0
	}
}

// ctl runs tarragonctl against the router.
func (in *installation) ctl(p *process, args ...string) string {
	in.t.Helper()
	cmd := exec.Command(filepath.Join(in.bin, "tarragonctl"), append([]string{"--router", "http://" + p.operator}, args...)...)
	out, err := cmd.CombinedOutput()
	assert.NilError(in.t, err, string(out))
	return string(out)
}

func (p *process) client() *operator.Client { return &operator.Client{Base: "http://" + p.operator} }

// ready asks as the platform's balancer does.
func (p *process) ready() bool {
	resp, err := http.Get("http://" + p.operator + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// get reads a key through the router; it returns an error for all but a whole
// answer of status 200.
func (p *process) get(key string) (answer, error) {
	return p.send(http.MethodGet, key, http.NoBody)
}

// answer is what a sample target says.
type answer struct {
	Target   string
	Unit     string
	Received int64
}

var processClient = &http.Client{Timeout: patience, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

func (p *process) send(method, key string, body io.Reader) (answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.caller+"/faq-viewer/"+key, body)
	if err != nil {
		return answer{}, err
	}
	resp, err := processClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return answer{}, fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	return decodeAnswer(data)
}

var eventually = waittest.Until
