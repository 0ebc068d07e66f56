package arch

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	root     = "../.."
	pageFile = root + "/docs/ARCHITECTURE.md"
)

// exemptFromPurity lists the packages below core that are checked only against the import
// table, because they support tests.
var exemptFromPurity = map[string]bool{"core/ownership/ownershiptest": true}

// source is one file of the root module that is not a test.
type source struct {
	folder string
	file   *ast.File
}

// sources parses all files of the root module except its tests.
func sources(t *testing.T, files *token.FileSet) []source {
	t.Helper()
	var all []source
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return skipFolder(name, entry)
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		f, err := parser.ParseFile(files, name, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel(root, filepath.Dir(name))
		all = append(all, source{filepath.ToSlash(folder), f})
		return err
	})
	assert.NilError(t, err)
	assert.Assert(t, len(all) > 100, "only %d files were found", len(all))
	return all
}

// skipFolder skips other modules, hidden folders and testdata.
func skipFolder(name string, entry fs.DirEntry) error {
	if name == root {
		return nil
	}
	if _, err := os.Stat(filepath.Join(name, "go.mod")); err == nil {
		return filepath.SkipDir
	}
	if strings.HasPrefix(entry.Name(), ".") || entry.Name() == "testdata" {
		return filepath.SkipDir
	}
	return nil
}

func importsOf(f *ast.File) []string {
	var imports []string
	for _, spec := range f.Imports {
		imported, _ := strconv.Unquote(spec.Path.Value)
		imports = append(imports, imported)
	}
	return imports
}

func readTable(t *testing.T) []row {
	t.Helper()
	page, err := os.ReadFile(pageFile)
	assert.NilError(t, err)
	rows, err := parseTable(string(page))
	assert.NilError(t, err)
	assert.Assert(t, len(rows) > 10)
	return rows
}

func TestImportsFollowThePage(t *testing.T) {
	rows := readTable(t)
	for _, s := range sources(t, token.NewFileSet()) {
		for _, fault := range checkImports(rows, s.folder, importsOf(s.file)) {
			t.Error(fault)
		}
	}
}

func TestDecisionsArePure(t *testing.T) {
	files := token.NewFileSet()
	var checked int
	for _, s := range sources(t, files) {
		if !strings.HasPrefix(s.folder, "core/") || exemptFromPurity[s.folder] || ast.IsGenerated(s.file) {
			continue
		}
		checked++
		for _, fault := range checkPurity(files, s.file) {
			t.Error(fault)
		}
	}
	assert.Assert(t, checked > 50, "only %d files were checked", checked)
}

// Each row must name an existing folder, so that the page does not list packages that
// have been removed from the code.
func TestPageNamesOnlyFoldersThatExist(t *testing.T) {
	for _, r := range readTable(t) {
		_, err := os.Stat(filepath.Join(root, strings.TrimSuffix(r.pattern, "/*")))
		assert.NilError(t, err)
	}
}

// wallClockUsers lists the files that may read the wall clock: they display the date, name
// daily files after it, or use it as an increasing number. core/health truncates times to
// buckets; its caller takes these times from the clock of leases. internal/suspendtest converts
// the kernel's timestamps, which are of the wall clock, and checks that it isn't stepped.
var wallClockUsers = []string{
	"cmd/", "dev/", "lab/", "eventlog/", "core/history/", "core/health/target.go", "router/options.go",
	"internal/suspendtest/arrival.go",
}

// wallClockMethods lists the methods of time.Time that drop the monotonic clock reading.
var wallClockMethods = map[string]bool{"Unix": true, "UnixNano": true, "UnixMilli": true, "UnixMicro": true, "Truncate": true}

// Guards against leases, timeouts or verdicts that end too early or last too long when a
// VM's wall clock is set, because a time has lost its monotonic clock reading.
func TestOnlyNamedFilesReadTheWallClock(t *testing.T) {
	files := token.NewFileSet()
	var found int
	for _, s := range sources(t, files) {
		ast.Inspect(s.file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || !readsWallClock(call) {
				return true
			}
			found++
			position := files.Position(call.Pos())
			name, err := filepath.Rel(root, position.Filename)
			assert.NilError(t, err)
			allowed := slices.ContainsFunc(wallClockUsers, func(user string) bool { return strings.HasPrefix(name, user) })
			assert.Check(t, allowed, "%v reads the wall clock", position)
			return true
		})
	}
	assert.Assert(t, found > 3, "only %d readings were found", found)
}

// readsWallClock reports whether the call is to one of wallClockMethods. It ignores functions
// of package time such as time.Unix, which make a time from a number.
func readsWallClock(call *ast.CallExpr) bool {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !wallClockMethods[selector.Sel.Name] {
		return false
	}
	qualifier, ok := selector.X.(*ast.Ident)
	return !ok || qualifier.Name != "time"
}
