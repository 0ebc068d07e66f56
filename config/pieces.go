package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"tarragongw/core/model"
)

const (
	// minPieceObjects and maxPieceObjects bound the number of objects of a piece. From the
	// minimum on, one name in pieceEndInterval ends the piece, so that a piece has 128
	// objects on average. With smaller pieces a change rewrites less of a record, but they
	// compress worse.
	minPieceObjects  = 96
	maxPieceObjects  = 256
	pieceEndInterval = 32
)

// Piece is a part of an encoded model: consecutive objects of one kind, or the JSON text
// between the lists of objects. The concatenation of all pieces is the output of Encode.
type Piece struct {
	// Kind is empty for text between lists of objects.
	Kind model.ObjectKind
	// Span is the range of objects in the piece.
	Span Span
	// TrailingComma means that the text ends with a comma because more objects of the kind follow.
	TrailingComma bool
	// Text is nil if the piece was known.
	Text []byte
}

// Known reports whether a piece, which has no text yet, was encoded before, and the size of
// its text in bytes.
type Known func(p *Piece) (size int, known bool)

// EncodePieces encodes the model like Encode, but in pieces; pieces that are known have no
// text. Where a piece ends depends only on the names in it, so that changing an object leaves
// all other pieces unchanged, and so does, usually, adding or removing one. The model must be
// sorted; known may be nil.
func EncodePieces(m *model.Model, known Known) ([]Piece, error) {
	p := &pieceEncoder{model: m, known: known}
	p.addText(`{"format":%d,"revision":%d`, RecordFormat, m.Revision)
	addObjects(p, model.KindService, m.Services)
	addObjects(p, model.KindTarget, m.Targets)
	addObjects(p, model.KindRange, m.Ranges)
	addObjects(p, model.KindCaller, m.Callers)
	addObjects(p, model.KindSelector, m.Selectors)
	p.addText("}")
	if p.err != nil {
		return nil, errors.Wrap(p.err, "encode model")
	}
	if p.size > MaxRecordSize {
		return nil, tooLarge(p.size)
	}
	return p.list, nil
}

// pieceEncoder builds the pieces of a model.
type pieceEncoder struct {
	model *model.Model
	known Known
	list  []Piece
	size  int
	err   error
}

// addText adds a piece of text between lists of objects.
func (p *pieceEncoder) addText(format string, args ...any) {
	text := fmt.Appendf(nil, format, args...)
	p.list = append(p.list, Piece{Text: text, Span: Span{Size: len(text)}})
	p.size += len(text)
}

func addObjects[T any](p *pieceEncoder, kind model.ObjectKind, list []T) {
	if len(list) == 0 {
		return
	}
	p.addText(`,"%ss":[`, kind)
	first := 0
	for i := range list {
		last := i == len(list)-1
		if last || endsPiece(i-first+1, p.model.ObjectName(kind, i)) {
			addPiece(p, Piece{Kind: kind, Span: Span{From: first, To: i + 1}, TrailingComma: !last}, list[first:i+1])
			first = i + 1
		}
	}
	p.addText("]")
}

func addPiece[T any](p *pieceEncoder, piece Piece, objects []T) {
	known := false
	if p.known != nil {
		piece.Span.Size, known = p.known(&piece)
	}
	for i := range objects {
		if known {
			break
		}
		object, err := json.Marshal(&objects[i])
		if err != nil {
			p.err = err
			return
		}
		piece.Text = append(piece.Text, object...)
		if piece.TrailingComma || i < len(objects)-1 {
			piece.Text = append(piece.Text, ',')
		}
		piece.Span.Size = len(piece.Text)
	}
	p.list = append(p.list, piece)
	p.size += piece.Span.Size
}

// endsPiece reports whether a piece ends after this number of objects, of which the last has
// this name. Because the end depends on the name, adding or removing an object earlier in the
// piece moves the end in only about one of pieceEndInterval cases.
func endsPiece(objects int, name string) bool {
	if objects < minPieceObjects {
		return false
	}
	return objects == maxPieceObjects || xxhash.Sum64String(name)%pieceEndInterval == 0
}

// Assembly builds a model from the pieces of its record. Pieces that an older model was
// built from are taken from that model instead of being decoded again.
type Assembly struct {
	model model.Model
	// skeleton is the record's text with objectsPlaceholder in place of each list's objects.
	skeleton strings.Builder
	lastKind model.ObjectKind
	// open means that the last piece of objects ended with a comma.
	open bool
	size int
}

// Span is the range of a piece's objects among those of its kind, with To excluded, and the
// size of its text in bytes.
type Span struct{ From, To, Size int }

// Add decodes a piece and adds its objects to the model.
func (a *Assembly) Add(p Piece) (Span, error) {
	if p.Kind == "" {
		err := a.checkNext("", len(p.Text))
		a.skeleton.Write(p.Text)
		return Span{Size: len(p.Text)}, err
	}
	if err := a.checkNext(p.Kind, len(p.Text)); err != nil {
		return Span{}, err
	}
	text, open := bytes.CutSuffix(p.Text, []byte(","))
	a.open = open
	text = slices.Concat([]byte("["), text, []byte("]"))
	var from, to int
	var err error
	m := &a.model
	switch p.Kind {
	case model.KindService:
		from, to, err = appendDecoded(&m.Services, text)
	case model.KindTarget:
		from, to, err = appendDecoded(&m.Targets, text)
	case model.KindRange:
		from, to, err = appendDecoded(&m.Ranges, text)
	case model.KindCaller:
		from, to, err = appendDecoded(&m.Callers, text)
	case model.KindSelector:
		from, to, err = appendDecoded(&m.Selectors, text)
	default:
		err = errors.Errorf("unknown kind of objects %q", p.Kind)
	}
	return Span{from, to, len(p.Text)}, err
}

// Reuse adds a piece from which old was built, without decoding it. at is its span in old;
// open means that its text ends with a comma.
func (a *Assembly) Reuse(old *model.Model, kind model.ObjectKind, at Span, open bool) (Span, error) {
	if err := a.checkNext(kind, at.Size); err != nil {
		return Span{}, err
	}
	a.open = open
	var from, to int
	m := &a.model
	switch kind {
	case model.KindService:
		from, to = appendSpan(&m.Services, old.Services, at)
	case model.KindTarget:
		from, to = appendSpan(&m.Targets, old.Targets, at)
	case model.KindRange:
		from, to = appendSpan(&m.Ranges, old.Ranges, at)
	case model.KindCaller:
		from, to = appendSpan(&m.Callers, old.Callers, at)
	case model.KindSelector:
		from, to = appendSpan(&m.Selectors, old.Selectors, at)
	}
	return Span{from, to, at.Size}, nil
}

// checkNext checks that a piece may follow the previous one, and the size of the record so
// far. A piece of objects may follow another only if it has the same kind and there is a
// comma between them, and it must follow if there is a comma.
func (a *Assembly) checkNext(kind model.ObjectKind, size int) error {
	if a.size += size; a.size > MaxRecordSize {
		return tooLarge(a.size)
	}
	if a.open != (kind != "" && kind == a.lastKind) {
		return errors.New("the record has pieces that cannot follow each other")
	}
	if kind != "" && kind != a.lastKind {
		a.skeleton.WriteString(objectsPlaceholder)
	}
	a.lastKind, a.open = kind, false
	return nil
}

// objectsPlaceholder stands for a list's objects in the skeleton of a record; it cannot occur
// in JSON.
const objectsPlaceholder = "\x00"

// appendDecoded decodes a list of objects, appends them to list and returns their range in it.
func appendDecoded[T any](list *[]T, text []byte) (from, to int, err error) {
	var decoded []T
	if err := decodeStrictly(text, &decoded); err != nil {
		return 0, 0, errors.Wrap(err, "decode model")
	}
	from = len(*list)
	*list = append(*list, decoded...)
	return from, len(*list), nil
}

// appendSpan appends a span of old to list. It shares old's memory instead of copying as long
// as list is a prefix of old.
func appendSpan[T any](list *[]T, old []T, at Span) (from, to int) {
	from = len(*list)
	if from == at.From && (from == 0 || &(*list)[0] == &old[0]) {
		*list = old[:at.To:at.To]
		return from, at.To
	}
	*list = append(slices.Grow(*list, len(old)-at.From), old[at.From:at.To]...)
	return from, len(*list)
}

// Model returns the model. It rejects records that Decode might decode differently: those of
// another format or layout, or with objects out of order. It does not validate the model.
func (a *Assembly) Model(revision uint64) (*model.Model, error) {
	m := &a.model
	m.Revision = revision
	want := &Assembly{}
	want.writeSkeleton(m)
	if a.open || a.skeleton.String() != want.skeleton.String() {
		return nil, errors.New("the layout of the record is not the one that this release writes")
	}
	sorted := sortedByName(m.Services, func(s *model.Service) string { return s.Name }) &&
		sortedByName(m.Targets, func(t *model.Target) string { return t.Name }) &&
		sortedByName(m.Ranges, func(r *model.KeyRange) string { return r.Name }) &&
		sortedByName(m.Callers, func(c *model.Caller) string { return c.Name }) &&
		sortedByName(m.Selectors, func(s *model.Selector) string { return s.Name })
	if !sorted {
		return nil, errors.New("the objects of the record are not sorted by name")
	}
	return m, nil
}

// writeSkeleton writes the skeleton of a model's record.
func (a *Assembly) writeSkeleton(m *model.Model) {
	fmt.Fprintf(&a.skeleton, `{"format":%d,"revision":%d`, RecordFormat, m.Revision)
	for i, n := range []int{len(m.Services), len(m.Targets), len(m.Ranges), len(m.Callers), len(m.Selectors)} {
		if n > 0 {
			fmt.Fprintf(&a.skeleton, `,"%ss":[%s]`, model.Kinds[i], objectsPlaceholder)
		}
	}
	a.skeleton.WriteString("}")
}

// sortedByName reports whether a list is in order of name.
func sortedByName[T any](list []T, name func(*T) string) bool {
	for i := 1; i < len(list); i++ {
		if name(&list[i-1]) > name(&list[i]) {
			return false
		}
	}
	return true
}

func tooLarge(size int) error {
	return errors.Errorf("the encoded model has %d bytes; at most %d are allowed", size, MaxRecordSize)
}
