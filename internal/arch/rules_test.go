package arch

import (
	"fmt"
	"go/ast"
	"go/token"
	"path"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

const module = "tarragongw"

// row is one line of the table in docs/ARCHITECTURE.md.
type row struct {
	// pattern is the folder of a package; a trailing /* matches all folders below.
	pattern string
	// mayImport lists the patterns of the packages of this module that it may import.
	mayImport []string
}

var inBackticks = regexp.MustCompile("`([^`]+)`")

// parseTable reads the rows between the markers on the page. The first cell of a row lists
// packages, the last cell the packages that they may import.
func parseTable(page string) ([]row, error) {
	_, rest, hasBegin := strings.Cut(page, "<!-- imports:begin -->")
	table, _, hasEnd := strings.Cut(rest, "<!-- imports:end -->")
	if !hasBegin || !hasEnd {
		return nil, fmt.Errorf("the markers of the import table are missing")
	}
	var rows []row
	for line := range strings.Lines(table) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != 3 || !strings.Contains(cells[0], "`") {
			continue
		}
		mayImport := codeSpans(cells[2])
		for _, pattern := range codeSpans(cells[0]) {
			rows = append(rows, row{pattern, mayImport})
		}
	}
	return rows, nil
}

func codeSpans(cell string) []string {
	var words []string
	for _, match := range inBackticks.FindAllStringSubmatch(cell, -1) {
		words = append(words, match[1])
	}
	return words
}

func matches(pattern, folder string) bool {
	if base, found := strings.CutSuffix(pattern, "/*"); found {
		return strings.HasPrefix(folder, base+"/")
	}
	return pattern == folder
}

// rowOf returns the row with the longest pattern that matches the folder, so that a row
// for the folder itself takes precedence over a wildcard.
func rowOf(rows []row, folder string) *row {
	var best *row
	for i := range rows {
		if matches(rows[i].pattern, folder) && (best == nil || len(rows[i].pattern) > len(best.pattern)) {
			best = &rows[i]
		}
	}
	return best
}

// checkImports returns the rules that the folder's imports violate. Test files are not
// checked.
func checkImports(rows []row, folder string, imports []string) []string {
	own := rowOf(rows, folder)
	if own == nil {
		return []string{folder + " is not in the table of docs/ARCHITECTURE.md"}
	}
	var faults []string
	for _, imported := range imports {
		reason := forbiddenAnywhere(imported)
		if reason == "" && folder != plottingFolder && strings.HasPrefix(imported, "gonum.org/") {
			reason = "plots belong to " + plottingFolder + " alone, so that programs that embed the router don't depend on the library"
		}
		if reason != "" {
			faults = append(faults, fmt.Sprintf("%s imports %s: %s", folder, imported, reason))
			continue
		}
		relative, inModule := strings.CutPrefix(imported, module+"/")
		if inModule && !slices.ContainsFunc(own.mayImport, func(p string) bool { return matches(p, relative) }) {
			faults = append(faults, fmt.Sprintf("%s may not import %s", folder, relative))
		}
	}
	return faults
}

// plottingFolder is the only folder that draws plots.
const plottingFolder = "cmd/tarragonctl"

// forbiddenAnywhere returns why no package of the router's module may import the package;
// "" means that it is not forbidden.
func forbiddenAnywhere(imported string) string {
	switch {
	case strings.HasPrefix(imported, module+"/lab"):
		return "lab is for development only"
	case imported == "net/http/httputil":
		return "no ready-made proxy"
	case strings.HasPrefix(imported, "github.com/asynkron/protoactor-go/") && imported != "github.com/asynkron/protoactor-go/actor":
		return "of the actor library only local actors are used"
	}
	return ""
}

// pureImports lists the packages that packages below core may import in addition to those
// of core.
var pureImports = []string{
	"cmp", "container/heap", "crypto/sha256", "encoding/binary", "encoding/hex", "errors", "fmt", "hash/fnv", "iter", "maps", "math",
	"math/bits", "math/rand/v2", "net/netip", "reflect", "regexp", "slices", "sort", "strconv",
	"strings", "time", "unicode", "unicode/utf8",
	"github.com/cespare/xxhash/v2", "github.com/dgryski/go-rendezvous", "github.com/pkg/errors",
	"google.golang.org/protobuf/proto",
}

// forbiddenCalls lists the members of otherwise pure packages that depend on or change
// outside state: the clock, the time zone, input and output. fmt.Fprint is allowed, because
// a pure package has no file or connection to write to, only a strings.Builder or the like.
var forbiddenCalls = map[string][]string{
	"time": {"Now", "Since", "Until", "After", "AfterFunc", "Sleep", "Tick", "NewTimer", "NewTicker", "Local", "LoadLocation"},
	"fmt":  {"Print", "Printf", "Println", "Scan", "Scanf", "Scanln"},
}

// allowedMembers lists the pure functions that may be used of packages whose other members
// are not pure.
var allowedMembers = map[string][]string{
	"net": {"SplitHostPort", "JoinHostPort"},
}

// seededMembers lists the members of math/rand/v2 that do not use the global random source.
var seededMembers = []string{"New", "NewPCG", "NewChaCha8", "NewZipf", "Rand", "Source", "PCG", "ChaCha8", "Zipf"}

// checkPurity returns the rules that a source file of a package below core violates.
func checkPurity(files *token.FileSet, f *ast.File) []string {
	var faults []string
	names := make(map[string]string)
	for _, spec := range f.Imports {
		imported, _ := strconv.Unquote(spec.Path.Value)
		_, restricted := allowedMembers[imported]
		if !restricted && !slices.Contains(pureImports, imported) && !strings.HasPrefix(imported, module+"/core/") {
			faults = append(faults, atPosition(files, spec, "imports "+imported))
		}
		names[importName(spec, imported)] = imported
	}
	ast.Inspect(f, func(n ast.Node) bool {
		if fault := impurityOf(n, names); fault != "" {
			faults = append(faults, atPosition(files, n, fault))
		}
		return true
	})
	return faults
}

func importName(spec *ast.ImportSpec, imported string) string {
	if spec.Name != nil {
		return spec.Name.Name
	}
	name := path.Base(imported)
	if version := regexp.MustCompile(`^v[0-9]+$`); version.MatchString(name) {
		name = path.Base(path.Dir(imported))
	}
	return name
}

// impurityOf describes the side effect or outside state that the node uses; "" means none.
func impurityOf(n ast.Node, names map[string]string) string {
	switch n := n.(type) {
	case *ast.GoStmt:
		return "starts a goroutine"
	case *ast.SelectStmt:
		return "waits for channels"
	case *ast.ChanType:
		return "uses a channel"
	case *ast.CallExpr:
		if f, ok := n.Fun.(*ast.Ident); ok && f.Obj == nil && (f.Name == "print" || f.Name == "println") {
			return "prints"
		}
	case *ast.SelectorExpr:
		return impurityOfMember(n, names)
	}
	return ""
}

func impurityOfMember(n *ast.SelectorExpr, names map[string]string) string {
	x, ok := n.X.(*ast.Ident)
	if !ok || x.Obj != nil {
		return ""
	}
	imported := names[x.Name]
	member := n.Sel.Name
	if slices.Contains(forbiddenCalls[imported], member) {
		return "uses " + imported + "." + member
	}
	if allowed, restricted := allowedMembers[imported]; restricted && !slices.Contains(allowed, member) {
		return "uses " + imported + "." + member
	}
	if imported == "math/rand/v2" && !slices.Contains(seededMembers, member) {
		return "uses the global random source through rand." + member
	}
	return ""
}

func atPosition(files *token.FileSet, n ast.Node, text string) string {
	return fmt.Sprintf("%v %s", files.Position(n.Pos()), text)
}
