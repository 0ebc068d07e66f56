package arch

import (
	"go/parser"
	"go/token"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const smallPage = "<!-- imports:begin -->\n" +
	"| package | job | may import |\n|---|---|---|\n" +
	"| `core/*` | decides | `core/*` |\n" +
	"| `core/odd` | odd | |\n" +
	"| `caller` `target` | peers | `core/*` |\n" +
	"<!-- imports:end -->\n"

func TestCheckImportsFindsFaults(t *testing.T) {
	rows, err := parseTable(smallPage)
	assert.NilError(t, err)
	cases := []struct {
		folder, imported, fault string
	}{
		{"core/a", "tarragongw/core/b", ""},
		{"core/a", "strings", ""},
		{"core/a", "tarragongw/caller", "core/a may not import caller"},
		{"core/odd", "tarragongw/core/b", "core/odd may not import core/b"},
		{"caller", "tarragongw/target", "caller may not import target"},
		{"target", "tarragongw/core/b", ""},
		{"target", "tarragongw/lab/measure", "lab is for development only"},
		{"target", "net/http/httputil", "no ready-made proxy"},
		{"target", "github.com/asynkron/protoactor-go/cluster", "only local actors"},
		{"target", "github.com/asynkron/protoactor-go/actor", ""},
		{"target", "gonum.org/v1/plot", "plots belong to cmd/tarragonctl alone"},
		{"extra", "strings", "extra is not in the table"},
	}
	for _, c := range cases {
		got := strings.Join(checkImports(rows, c.folder, []string{c.imported}), "\n")
		if c.fault == "" {
			assert.Equal(t, got, "", "%s imports %s", c.folder, c.imported)
			continue
		}
		assert.Assert(t, strings.Contains(got, c.fault), "%s imports %s: %q", c.folder, c.imported, got)
	}
}

func TestParseTableRequiresMarkers(t *testing.T) {
	_, err := parseTable("| `core/*` | decides | `core/*` |\n")
	assert.ErrorContains(t, err, "markers")
}

func TestCheckPurityFindsFaults(t *testing.T) {
	cases := []struct {
		name, source, fault string
	}{
		{"clean", `import "time"; const limit = 2 * time.Second; func f(now time.Duration) bool { return now > limit }`, ""},
		{"now", `import "time"; var t = time.Now()`, "uses time.Now"},
		{"renamed clock", `import clock "time"; var t = clock.Now()`, "uses time.Now"},
		{"function value", `import "time"; var now = time.Now`, "uses time.Now"},
		{"timer", `import "time"; var t = time.NewTimer(1)`, "uses time.NewTimer"},
		{"method of the same name", `type c struct{}; func (c) Now() int { return 0 }; func f(time c) int { return time.Now() }`, ""},
		{"os", `import "os"; var e = os.Environ()`, "imports os"},
		{"net", `import "net"; var e net.Conn`, "uses net.Conn"},
		{"dial", `import "net"; var c, _ = net.Dial("tcp", "")`, "uses net.Dial"},
		{"split", `import "net"; var h, p, e = net.SplitHostPort("")`, ""},
		{"http", `import _ "net/http"`, "imports net/http"},
		{"log", `import "log"; func f() { log.Print() }`, "imports log"},
		{"slog", `import "log/slog"; func f() { slog.Info("") }`, "imports log/slog"},
		{"sync", `import "sync"; var m sync.Mutex`, "imports sync"},
		{"old random source", `import "math/rand"; var n = rand.Int()`, "imports math/rand"},
		{"global random source", `import "math/rand/v2"; var n = rand.IntN(3)`, "global random source"},
		{"seeded random source", `import "math/rand/v2"; var n = rand.New(rand.NewPCG(1, 2)).IntN(3)`, ""},
		{"goroutine", `func f() { go f() }`, "starts a goroutine"},
		{"channel", `var c chan int`, "uses a channel"},
		{"printing", `import "fmt"; func f() { fmt.Println() }`, "uses fmt.Println"},
		{"built-in printing", `func f() { println() }`, "prints"},
		{"text", `import "fmt"; var s = fmt.Sprint(1)`, ""},
		{"another layer", `import "tarragongw/router"; var r router.Router`, "imports tarragongw/router"},
		{"core", `import "tarragongw/core/model"; var m model.Model`, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			files := token.NewFileSet()
			f, err := parser.ParseFile(files, "small.go", "package small; "+c.source, 0)
			assert.NilError(t, err)
			got := strings.Join(checkPurity(files, f), "\n")
			if c.fault == "" {
				assert.Equal(t, got, "")
				return
			}
			assert.Assert(t, strings.Contains(got, c.fault), got)
		})
	}
}
