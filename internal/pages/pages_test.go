package pages

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	"tarragongw/config"
)

const root = "../.."

func TestCheckFindsUnknownCommandsAndFlags(t *testing.T) {
	command := &cli.Command{Name: "tool", Flags: []cli.Flag{&cli.StringFlag{Name: "router"}}, Commands: []*cli.Command{
		{Name: "get", Commands: []*cli.Command{{Name: "config", Flags: []cli.Flag{&cli.BoolFlag{Name: "all"}}}}},
	}}
	page := Page{Text: "Use `tool --router URL get config --all FOLDER` or\n\n    tool get other\n\nor `tool get config --none`; the tool gets it."}
	lines := page.Commands("tool")
	assert.Equal(t, len(lines), 3, "%q", lines)
	assert.NilError(t, Check(command, lines[0]))
	assert.ErrorContains(t, Check(command, lines[1]), `no command "other"`)
	assert.ErrorContains(t, Check(command, lines[2]), "no flag --none")
}

func readPages(t *testing.T) []Page {
	t.Helper()
	all, err := Read(root)
	assert.NilError(t, err)
	assert.Assert(t, len(all) > 15)
	return all
}

// Each code span of the form table.name whose table is a table of the process's settings
// must name a setting.
func TestSettingsNamedOnPagesExist(t *testing.T) {
	known, tables := map[string]bool{}, map[string]bool{}
	for i := range config.Settings {
		name := config.Settings[i].Name
		known[name] = true
		if table, _, found := strings.Cut(name, "."); found {
			tables[table] = true
		}
	}
	word := regexp.MustCompile("`([a-z]+)\\.([a-z_]+)`")
	var checked int
	for _, page := range readPages(t) {
		for _, match := range word.FindAllStringSubmatch(page.Text, -1) {
			if !tables[match[1]] || match[2] == "go" || match[2] == "toml" {
				continue
			}
			checked++
			assert.Assert(t, known[match[1]+"."+match[2]], "%s names the setting %s", page.Name, match[0])
		}
	}
	assert.Assert(t, checked > 10, "only %d settings were found", checked)
}

func TestMakeTargetsNamedOnPagesExist(t *testing.T) {
	makefile, err := os.ReadFile(filepath.Join(root, "Makefile"))
	assert.NilError(t, err)
	word := regexp.MustCompile("(?:`|^)make ([a-z]+)")
	for _, page := range readPages(t) {
		for _, match := range word.FindAllStringSubmatch(page.Text, -1) {
			target := regexp.MustCompile(`(?m)^` + match[1] + `:`)
			assert.Assert(t, target.Match(makefile), "%s names make %s", page.Name, match[1])
		}
	}
}

func TestLinksLeadToFiles(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
	for _, page := range readPages(t) {
		for _, match := range link.FindAllStringSubmatch(page.Text, -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page.Name), match[1]))
			assert.NilError(t, err, page.Name)
		}
	}
}

// testNames returns the names of all tests and fuzz targets of the repository.
func testNames(t *testing.T) map[string]bool {
	t.Helper()
	declared := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Za-z0-9_]+)\(`)
	names := map[string]bool{}
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(name, "_test.go") {
			return err
		}
		data, err := os.ReadFile(name)
		for _, match := range declared.FindAllStringSubmatch(string(data), -1) {
			names[match[1]] = true
		}
		return err
	})
	assert.NilError(t, err)
	return names
}

func TestTestsNamedInGuaranteesExist(t *testing.T) {
	data, err := os.ReadFile(filepath.Join(root, "docs", "GUARANTEES.md"))
	assert.NilError(t, err)
	names := testNames(t)
	cited := regexp.MustCompile(`\b(?:Test|Fuzz)[A-Z][A-Za-z0-9_]+`).FindAllString(string(data), -1)
	assert.Assert(t, len(cited) > 30, "only %d tests are named", len(cited))
	for _, name := range cited {
		assert.Assert(t, names[name], "docs/GUARANTEES.md names %s", name)
	}
}

// The page of limits must name each fuzz target, and only existing ones.
func TestFuzzTargetsAreOnThePageOfLimits(t *testing.T) {
	data, err := os.ReadFile(filepath.Join(root, "docs", "LIMITS.md"))
	assert.NilError(t, err)
	cited := map[string]bool{}
	for _, name := range regexp.MustCompile(`\bFuzz[A-Z][A-Za-z0-9_]+`).FindAllString(string(data), -1) {
		cited[name] = true
	}
	names := testNames(t)
	for name := range cited {
		assert.Assert(t, names[name], "docs/LIMITS.md names %s", name)
	}
	for name := range names {
		assert.Assert(t, !strings.HasPrefix(name, "Fuzz") || cited[name], "docs/LIMITS.md lacks %s", name)
	}
}

// eventKinds returns the kinds of events from their declarations.
func eventKinds(t *testing.T) []string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, "eventlog", "event.go"), nil, 0)
	assert.NilError(t, err)
	var all []string
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) == 0 {
			return true
		}
		if typed, ok := spec.Type.(*ast.Ident); !ok || typed.Name != "Kind" {
			return true
		}
		text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		assert.NilError(t, err)
		all = append(all, text)
		return true
	})
	assert.Assert(t, len(all) > 20)
	return all
}

// The operators' page must list each kind of event, and only existing ones.
func TestEventsAreOnTheOperatorsPage(t *testing.T) {
	data, err := os.ReadFile(filepath.Join(root, "docs", "OPERATING.md"))
	assert.NilError(t, err)
	all := eventKinds(t)
	var listed []string
	for _, match := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|").FindAllStringSubmatch(string(data), -1) {
		listed = append(listed, match[1])
	}
	slices.Sort(all)
	slices.Sort(listed)
	assert.DeepEqual(t, listed, all)
}
