package config

import (
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"

	"tarragongw/core/model"
	"tarragongw/core/selector"
)

// File is the name and the content of one configuration file.
type File struct {
	Name string
	Data []byte
}

// LoadModel reads the model from a TOML file, or from all *.toml files of a folder together,
// and validates it. The error is of type Errors and holds all errors of all files.
func LoadModel(path string) (*model.Model, error) {
	files, err := readFiles(path)
	if err != nil {
		return nil, err
	}
	return ParseModel(files)
}

// LoadModelFS reads the model from all *.toml files of a folder of fsys.
func LoadModelFS(fsys fs.FS, folder string) (*model.Model, error) {
	names, err := fs.Glob(fsys, path.Join(folder, "*.toml"))
	if err != nil || len(names) == 0 {
		return nil, emptyFolderError(folder)
	}
	var files []File
	for _, name := range names {
		data, err := fs.ReadFile(fsys, name)
		if err != nil {
			return nil, Errors{{File: name, Text: err.Error(), Fix: "make the file readable"}}
		}
		files = append(files, File{name, data})
	}
	return ParseModel(files)
}

func emptyFolderError(folder string) Errors {
	return Errors{{File: folder, Text: "the folder holds no file *.toml", Fix: "name a folder of TOML files"}}
}

func readFiles(path string) ([]File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, Errors{{Text: err.Error(), Fix: "name a TOML file or a folder of them"}}
	}
	names := []string{path}
	if info.IsDir() {
		names, _ = filepath.Glob(filepath.Join(path, "*.toml"))
	}
	if len(names) == 0 {
		return nil, emptyFolderError(path)
	}
	var files []File
	var errs Errors
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			errs = append(errs, Error{File: name, Text: err.Error(), Fix: "make the file readable"})
		}
		files = append(files, File{name, data})
	}
	return files, errs.orNil()
}

// ParseModel reads the model from the contents of files.
func ParseModel(files []File) (*model.Model, error) {
	r := &modelReader{model: &model.Model{}, definedAt: make(map[model.Ref]origin), invalid: make(map[model.Ref]bool)}
	for _, f := range files {
		r.read(parse(f.Name, f.Data))
	}
	r.model.Sort()
	r.check()
	if err := r.errors.orNil(); err != nil {
		return nil, err
	}
	return r.model, nil
}

// origin is the place of an object's table.
type origin struct {
	doc  *document
	path string
}

func (o origin) String() string { return fmt.Sprintf("%s:%d", o.doc.file, o.doc.find(o.path).key.line) }

// modelReader builds one model from several documents.
type modelReader struct {
	model *model.Model
	// definedAt holds where each object is defined.
	definedAt map[model.Ref]origin
	// invalid holds the objects of which a field could not be decoded.
	invalid map[model.Ref]bool
	// incomplete means that objects may be missing, as in document.
	incomplete bool
	errors     Errors
}

func (r *modelReader) read(doc *document) {
	r.incomplete = r.incomplete || doc.incomplete
	for _, key := range slices.Sorted(maps.Keys(doc.root)) {
		r.tables(doc, key)
	}
	r.errors = append(r.errors, doc.errors...)
}

func (r *modelReader) tables(doc *document, key string) {
	d := &decoder{doc}
	kind := model.ObjectKind(key)
	if !slices.Contains(model.Kinds, kind) {
		r.unknownTable(d, key)
		return
	}
	list, ok := doc.root[key].([]any)
	if !ok {
		d.failKey(key, fmt.Sprintf("write [[%s]]", key), "%s is not a list of tables", key)
		return
	}
	for i, raw := range list {
		path := element(key, i)
		table, ok := raw.(map[string]any)
		if !ok {
			d.fail(path, fmt.Sprintf("write [[%s]]", key), "%s is %s, not a table", path, typeName(raw))
			continue
		}
		r.object(d, kind, path, table)
	}
}

func (r *modelReader) unknownTable(d *decoder, key string) {
	names := make([]string, 0, len(model.Kinds))
	for _, kind := range model.Kinds {
		names = append(names, string(kind))
	}
	mend := "use " + strings.Join(names, ", ")
	if near := model.Nearest(key, names); near != "" {
		mend = fmt.Sprintf("did you mean [[%s]]?", near)
	}
	d.failKey(key, mend, "unknown table %q", key)
}

func (r *modelReader) object(d *decoder, kind model.ObjectKind, path string, table map[string]any) {
	before := len(d.doc.errors)
	m := r.model
	name := ""
	add := func() {}
	switch kind {
	case model.KindService:
		s := newService()
		clearReplacedRules(&s, table)
		decodeTable(d, path, table, serviceFields, &s)
		setDerivedDefaults(&s, table)
		name, add = s.Name, func() { m.Services = append(m.Services, s) }
	case model.KindTarget:
		t := newTarget()
		decodeTable(d, path, table, targetFields, &t)
		name, add = t.Name, func() { m.Targets = append(m.Targets, t) }
	case model.KindRange:
		var k model.KeyRange
		decodeTable(d, path, table, rangeFields, &k)
		name, add = k.Name, func() { m.Ranges = append(m.Ranges, k) }
	case model.KindCaller:
		c := newCaller()
		decodeTable(d, path, table, callerFields, &c)
		name, add = c.Name, func() { m.Callers = append(m.Callers, c) }
	case model.KindSelector:
		var s model.Selector
		decodeTable(d, path, table, selectorFields, &s)
		name, add = s.Name, func() { m.Selectors = append(m.Selectors, s) }
	}
	ref := model.Ref{Kind: kind, Name: name}
	faulty := len(d.doc.errors) > before
	if name == "" && (faulty || d.doc.incomplete) {
		return
	}
	if first, taken := r.definedAt[ref]; taken {
		d.fail(join(path, "name"), "give each "+string(kind)+" a name of its own", "%s is already defined at %s", ref, first)
		return
	}
	r.definedAt[ref] = origin{d.doc, path}
	r.invalid[ref] = faulty
	add()
}

// check adds the problems of the model as a whole. It does nothing if a file is incomplete,
// because missing objects would cause misleading errors.
func (r *modelReader) check() {
	if r.incomplete {
		return
	}
	_, problems := selector.Compile(r.model)
	for _, p := range problems {
		if !r.mayFollowFromInvalid(p) {
			r.errors = append(r.errors, r.toError(p))
		}
	}
}

// mayFollowFromInvalid reports whether a problem may be only the consequence of a field that
// could not be decoded.
func (r *modelReader) mayFollowFromInvalid(p model.Problem) bool {
	if r.invalid[p.Object] || r.invalid[model.Ref{Kind: model.KindService, Name: r.serviceOf(p.Object)}] {
		return true
	}
	return slices.ContainsFunc(p.Others, func(o model.Ref) bool { return r.invalid[o] })
}

func (r *modelReader) serviceOf(ref model.Ref) string {
	switch ref.Kind {
	case model.KindTarget:
		if t := r.model.Target(ref.Name); t != nil {
			return t.Service
		}
	case model.KindRange:
		if k := r.model.Range(ref.Name); k != nil {
			return k.Service
		}
	case model.KindSelector:
		if s := r.model.Selector(ref.Name); s != nil {
			return s.Service
		}
	}
	return ""
}

// toError converts a problem to an error at the position of the field that it concerns.
func (r *modelReader) toError(p model.Problem) Error {
	text := p.Text
	if p.Field != "" {
		text = p.Field + ": " + text
	}
	if p.Object.Kind != "" {
		text = p.Object.String() + ": " + text
	}
	for _, other := range p.Others {
		if at, known := r.definedAt[other]; known {
			text += fmt.Sprintf(" (%s is at %s)", other, at)
		}
	}
	at, known := r.definedAt[p.Object]
	if !known {
		return Error{Text: text, Fix: p.Fix}
	}
	where := at.doc.find(join(at.path, p.Field))
	if where.value.line == 0 {
		where.value = where.key
	}
	return Error{File: at.doc.file, Line: where.value.line, Column: where.value.column, Text: text, Fix: p.Fix}
}
