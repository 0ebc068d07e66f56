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
	// testDataCentre is the data centre of all routers and targets.
	testDataCentre = "kushiro-hall"
	// targetServiceTime is how long a target works on each request.
	targetServiceTime = 3 * time.Millisecond
)

// installation is a complete system: the platform and the targets run in the test's process,
// and each router in a process of its own.
type installation struct {
	t *testing.T
	// binDir holds the built commands, and workDir the settings and the model.
	binDir      string
	workDir     string
	model       *model.Model
	store       *standin.Platform
	platformURL string
	log         *sample.Log
	routers     []*process
}

// process is one router process.
type process struct {
	name string
	// caller, operator and peer are the addresses of its listeners.
	caller, operator, peer string
	settingsPath           string
	cmd                    *exec.Cmd
	output                 *syncbuffer.Buffer
	exited                 chan error
}

// install builds the commands, starts the platform and the targets, and writes the settings
// of the routers. The caller starts the routers.
func install(t *testing.T, routers ...string) *installation {
	t.Helper()
	return installWith(t, func(*model.Model) {}, routers...)
}

// installWith is install with a change to the model before the targets start.
func installWith(t *testing.T, change func(*model.Model), routers ...string) *installation {
	t.Helper()
	in := &installation{t: t, binDir: t.TempDir(), workDir: t.TempDir(), log: sample.NewLog(1_000_000)}
	buildCommands(t, in.binDir)
	in.startPlatform()
	in.startTargets(change)
	ports := freeAddresses(t, 3*len(routers))
	for i, name := range routers {
		p := &process{name: name, caller: ports[3*i], operator: ports[3*i+1], peer: ports[3*i+2]}
		p.settingsPath = filepath.Join(in.workDir, name+".toml")
		assert.NilError(t, os.WriteFile(p.settingsPath, []byte(in.settingsTOML(p)), 0o600))
		in.routers = append(in.routers, p)
	}
	in.registerVMs()
	return in
}

// The ports of routers are chosen below the ephemeral port range. Otherwise an outgoing
// connection could take a port before the router listens on it, and the router would fail
// with "address already in use".
const (
	firstPort = 20000
	portCount = 12000
)

// freeAddresses returns n addresses on which nothing listens. The ports must be known before
// any router starts, because the routers' settings and the platform's list of VMs contain
// them.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	// Test binaries that run at the same time start their search at different ports.
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
	in.platformURL = server.URL
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
			Work:      targetServiceTime,
			Log:       in.log,
		})
		assert.NilError(in.t, server.Start())
		in.t.Cleanup(server.Close)
		spec.Address = server.Addr()
		spec.DataCentre = testDataCentre
	}
	in.model = m
	folder := filepath.Join(in.workDir, "model")
	assert.NilError(in.t, os.MkdirAll(folder, 0o700))
	assert.NilError(in.t, os.WriteFile(filepath.Join(folder, "model.toml"), config.Format(m), 0o600))
}

func (in *installation) settingsTOML(p *process) string {
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
`, p.name, testDataCentre, p.caller, p.operator, p.peer, in.platformURL, in.platformURL)
}

// registerVMs adds all routers to the platform's list of VMs.
func (in *installation) registerVMs() {
	var vms []kv.VM
	for _, p := range in.routers {
		vms = append(vms, kv.VM{Name: p.name, DataCentre: testDataCentre, PeerAddress: p.peer})
	}
	in.store.SetVMs(vms)
}

// start starts a router process. It is killed at the end of the test if it still runs.
func (in *installation) start(p *process) {
	in.t.Helper()
	p.launch(in.t, exec.Command(filepath.Join(in.binDir, "tarragongw"), "run", "--config", p.settingsPath))
}

// buildCommands builds the commands into a folder.
func buildCommands(t *testing.T, folder string) {
	t.Helper()
	build := exec.Command("go", "build", "-o", folder+string(filepath.Separator), "./cmd/...")
	build.Dir = filepath.Join("..", "..")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, string(out))
}

// logTailLines is the number of lines from the end of a process's output that a failed test
// logs.
const logTailLines = 60

// launch starts the process from a command. It is killed at the end of the test if it still
// runs.
func (p *process) launch(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	p.output = &syncbuffer.Buffer{}
	cmd.Stdout, cmd.Stderr = p.output, p.output
	assert.NilError(t, cmd.Start())
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	p.cmd, p.exited = cmd, exited
	t.Cleanup(func() {
		// Kill fails if the process has already exited.
		_ = cmd.Process.Kill()
		if t.Failed() {
			t.Logf("%s:\n%s", p.name, lastLines(p.output.String(), logTailLines))
		}
	})
}

// lastLines returns the last n lines of text.
func lastLines(text string, n int) string {
	lines := strings.Split(text, "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// exitCode waits for the process to exit and returns its exit code.
func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(testTimeout):
		t.Fatalf("%s does not exit", p.name)
		return 0
	}
}

// ctl runs tarragonctl against the router.
func (in *installation) ctl(p *process, args ...string) string {
	in.t.Helper()
	cmd := exec.Command(filepath.Join(in.binDir, "tarragonctl"), append([]string{"--router", "http://" + p.operator}, args...)...)
	out, err := cmd.CombinedOutput()
	assert.NilError(in.t, err, string(out))
	return string(out)
}

func (p *process) client() *operator.Client { return &operator.Client{Base: "http://" + p.operator} }

// ready queries the readiness endpoint, as the platform's load balancer does.
func (p *process) ready() bool {
	resp, err := http.Get("http://" + p.operator + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// get reads a key through the router. It returns an error unless a complete answer with
// status 200 arrives.
func (p *process) get(key string) (answer, error) {
	return p.send(http.MethodGet, key, http.NoBody)
}

// answer is the answer of a sample target.
type answer struct {
	Target   string
	Unit     string
	Received int64
}

var httpClient = &http.Client{Timeout: testTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

func (p *process) send(method, key string, body io.Reader) (answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.caller+"/faq-viewer/"+key, body)
	if err != nil {
		return answer{}, err
	}
	resp, err := httpClient.Do(req)
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
