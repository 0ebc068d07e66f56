package confstore

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"slices"

	"github.com/pkg/errors"

	"tarragongw/config"
	"tarragongw/core/model"
	"tarragongw/kv"
)

// The packed model is a gzip file with a member for each piece, which every gzip reader
// unpacks as one. Each member's header has an extra field (RFC 1952) with its length and
// its kind of objects, so that a piece is found without unpacking those before it.
const (
	headBytes = 10
	// extraBytes are the field's own head and what this release writes in it.
	extraBytes = 4 + 5
	trailBytes = 8
	// fieldA and fieldB name the extra field.
	fieldA, fieldB = 'T', 'G'
	// base64Group is how many bytes the record's text has as a group of letters. Members
	// are filled up to whole groups: one that grows by a byte would change the text of
	// all that follow.
	base64Group = 3
)

// part is a piece of a record: its packed form, and where its objects are in the model.
type part struct {
	packed string
	kind   model.ObjectKind
	span   config.Span
	open   bool
}

// packer packs a model; known are the parts of the state before, by their first object.
type packer struct {
	model  *model.Model
	before *State
	known  map[model.Ref]*part
}

// pack returns a model's pieces as members of one gzip file.
func pack(m *model.Model, before *State) ([]byte, []part, error) {
	p := &packer{model: m, before: before, known: map[model.Ref]*part{}}
	if before != nil {
		for i := range before.parts {
			old := &before.parts[i]
			p.known[model.Ref{Kind: old.kind, Name: before.Model.ObjectName(old.kind, old.span.From)}] = old
		}
	}
	pieces, err := config.EncodePieces(m, p.find)
	if err != nil {
		return nil, nil, err
	}
	var out, body bytes.Buffer
	w, err := flate.NewWriter(&body, flate.DefaultCompression)
	if err != nil {
		return nil, nil, errors.Wrap(err, "pack the model")
	}
	var parts []part
	for i := range pieces {
		piece := &pieces[i]
		packed := ""
		if piece.Text == nil {
			packed = p.at(piece).packed
		} else if packed, err = packPiece(piece, w, &body); err != nil {
			return nil, nil, err
		}
		out.WriteString(packed)
		if piece.Kind != "" {
			parts = append(parts, part{packed, piece.Kind, piece.Span, piece.TrailingComma})
		}
	}
	return out.Bytes(), parts, nil
}

// at returns the part of the state before that begins with the piece's first object.
func (p *packer) at(piece *config.Piece) *part {
	return p.known[model.Ref{Kind: piece.Kind, Name: p.model.ObjectName(piece.Kind, piece.Span.From)}]
}

// find says whether the state before has a piece.
func (p *packer) find(piece *config.Piece) (size int, known bool) {
	old := p.at(piece)
	count := piece.Span.To - piece.Span.From
	if old == nil || old.open != piece.TrailingComma || old.span.To-old.span.From != count {
		return 0, false
	}
	return old.span.Size, model.SameObjects(piece.Kind, p.before.Model, old.span.From, p.model, piece.Span.From, count)
}

func packPiece(p *config.Piece, w *flate.Writer, body *bytes.Buffer) (string, error) {
	body.Reset()
	w.Reset(body)
	if _, err := w.Write(p.Text); err != nil {
		return "", errors.Wrap(err, "pack the model")
	}
	if err := w.Close(); err != nil {
		return "", errors.Wrap(err, "pack the model")
	}
	return string(member(p, body.Bytes())), nil
}

func member(p *config.Piece, body []byte) []byte {
	size := headBytes + 2 + extraBytes + len(body) + trailBytes
	fill := (base64Group - size%base64Group) % base64Group
	size += fill
	m := make([]byte, 0, size)
	// Magic, deflate, an extra field follows, no time, no hints, unknown system.
	m = append(m, 0x1f, 0x8b, 8, 4, 0, 0, 0, 0, 0, 0xff)
	m = binary.LittleEndian.AppendUint16(m, uint16(extraBytes+fill))
	m = append(m, fieldA, fieldB)
	m = binary.LittleEndian.AppendUint16(m, uint16(extraBytes-4+fill))
	m = binary.LittleEndian.AppendUint32(m, uint32(size))
	m = append(m, byte(slices.Index(model.Kinds, p.Kind)+1))
	m = append(m, make([]byte, fill)...)
	m = append(m, body...)
	m = binary.LittleEndian.AppendUint32(m, crc32.ChecksumIEEE(p.Text))
	return binary.LittleEndian.AppendUint32(m, uint32(len(p.Text)))
}

// errNoPieces means that a record was not written in pieces, or is damaged.
var errNoPieces = errors.New("the model is not packed in pieces")

// firstMember returns the first member and its kind of objects.
func firstMember(packed []byte) (first []byte, kind model.ObjectKind, err error) {
	const least = headBytes + 2 + extraBytes + trailBytes
	if len(packed) < least || packed[3] != 4 || packed[headBytes+2] != fieldA || packed[headBytes+3] != fieldB {
		return nil, "", errNoPieces
	}
	size := binary.LittleEndian.Uint32(packed[headBytes+6:])
	number := int(packed[headBytes+10])
	if size < least || uint64(size) > uint64(len(packed)) || number > len(model.Kinds) {
		return nil, "", errNoPieces
	}
	if number > 0 {
		kind = model.Kinds[number-1]
	}
	return packed[:size], kind, nil
}

// DecodeAfter reads a record as Decode does, but reads only the pieces that are not in
// the state that was read before, which may be nil. It does not validate the model:
// selector.Recompile does. A record that is not in pieces is read whole.
func DecodeAfter(before *State, rec kv.Record) (*State, error) {
	var r record
	if err := json.Unmarshal(rec.Value, &r); err != nil {
		return nil, errors.Wrap(err, "decode the configuration's record")
	}
	m, parts, err := assemble(before, r.Model, r.Revision)
	if err != nil {
		return Decode(rec)
	}
	return &State{Model: m, Author: r.Author, Time: r.Time, Stored: rec.Revision, Value: rec.Value, ops: r.Ops, parts: parts}, nil
}

// assemble puts the model together from the members of its packed form.
func assemble(before *State, packed []byte, revision uint64) (*model.Model, []part, error) {
	known := map[string]*part{}
	if before != nil {
		for i := range before.parts {
			known[before.parts[i].packed] = &before.parts[i]
		}
	}
	var a config.Assembly
	var parts []part
	for len(packed) > 0 {
		first, kind, err := firstMember(packed)
		if err != nil {
			return nil, nil, err
		}
		packed = packed[len(first):]
		p, err := addMember(&a, before, known[string(first)], first, kind)
		if err != nil {
			return nil, nil, err
		}
		if kind != "" {
			parts = append(parts, p)
		}
	}
	m, err := a.Model(revision)
	return m, parts, err
}

// addMember adds a piece of the model, from the state before where old says it has it.
func addMember(a *config.Assembly, before *State, old *part, packed []byte, kind model.ObjectKind) (part, error) {
	if old != nil {
		span, err := a.Reuse(before.Model, kind, old.span, old.open)
		return part{old.packed, kind, span, old.open}, err
	}
	text, err := unpack(packed)
	if err != nil {
		return part{}, err
	}
	span, err := a.Add(config.Piece{Kind: kind, Text: text})
	return part{string(packed), kind, span, bytes.HasSuffix(text, []byte(","))}, err
}
