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

// The packed model is a gzip file with one member for each piece; any gzip reader unpacks
// it as one stream. Each member's header has an extra field (RFC 1952) with the member's
// length and kind of objects, so that a piece is found without unpacking those before it.
const (
	headerBytes = 10
	// extraBytes is the size of the extra field: its header, then the member's length and kind.
	extraBytes   = 4 + 5
	trailerBytes = 8
	// fieldID1 and fieldID2 identify the extra field (SI1 and SI2 of RFC 1952).
	fieldID1, fieldID2 = 'T', 'G'
	// base64Group is the number of bytes that base64 encodes as one group of characters.
	// Members are padded to whole groups: otherwise a member that grows by a byte would
	// change the encoded text of all members after it.
	base64Group = 3
)

// part is a piece of a record: its packed form, and where its objects are in the model.
type part struct {
	packed        string
	kind          model.ObjectKind
	span          config.Span
	trailingComma bool
}

// packer packs a model and reuses the pieces of the previous state.
type packer struct {
	model  *model.Model
	before *State
	// knownParts are the parts of the state before, by their first object.
	knownParts map[model.Ref]*part
}

// pack returns a model's pieces as members of one gzip file.
func pack(m *model.Model, before *State) ([]byte, []part, error) {
	p := &packer{model: m, before: before, knownParts: map[model.Ref]*part{}}
	if before != nil {
		for i := range before.parts {
			old := &before.parts[i]
			p.knownParts[model.Ref{Kind: old.kind, Name: before.Model.ObjectName(old.kind, old.span.From)}] = old
		}
	}
	pieces, err := config.EncodePieces(m, p.reusable)
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
			packed = p.previousPart(piece).packed
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

// previousPart returns the part of the state before that begins with the piece's first
// object, or nil.
func (p *packer) previousPart(piece *config.Piece) *part {
	return p.knownParts[model.Ref{Kind: piece.Kind, Name: p.model.ObjectName(piece.Kind, piece.Span.From)}]
}

// reusable reports whether the state before has an equal piece, and the size of its text.
func (p *packer) reusable(piece *config.Piece) (size int, known bool) {
	old := p.previousPart(piece)
	count := piece.Span.To - piece.Span.From
	if old == nil || old.trailingComma != piece.TrailingComma || old.span.To-old.span.From != count {
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

// member returns a gzip member of the piece, whose deflated text is body.
func member(p *config.Piece, body []byte) []byte {
	size := headerBytes + 2 + extraBytes + len(body) + trailerBytes
	padding := (base64Group - size%base64Group) % base64Group
	size += padding
	m := make([]byte, 0, size)
	// Magic number, deflate, flag for an extra field, no time, no extra flags, unknown system.
	m = append(m, 0x1f, 0x8b, 8, 4, 0, 0, 0, 0, 0, 0xff)
	m = binary.LittleEndian.AppendUint16(m, uint16(extraBytes+padding))
	m = append(m, fieldID1, fieldID2)
	m = binary.LittleEndian.AppendUint16(m, uint16(extraBytes-4+padding))
	m = binary.LittleEndian.AppendUint32(m, uint32(size))
	m = append(m, byte(slices.Index(model.Kinds, p.Kind)+1))
	m = append(m, make([]byte, padding)...)
	m = append(m, body...)
	m = binary.LittleEndian.AppendUint32(m, crc32.ChecksumIEEE(p.Text))
	return binary.LittleEndian.AppendUint32(m, uint32(len(p.Text)))
}

// errNoPieces means that a record was not written in pieces, or is damaged.
var errNoPieces = errors.New("the model is not packed in pieces")

// firstMember returns the first member of a packed model and its kind of objects.
func firstMember(packed []byte) (first []byte, kind model.ObjectKind, err error) {
	const minBytes = headerBytes + 2 + extraBytes + trailerBytes
	if len(packed) < minBytes || packed[3] != 4 || packed[headerBytes+2] != fieldID1 || packed[headerBytes+3] != fieldID2 {
		return nil, "", errNoPieces
	}
	size := binary.LittleEndian.Uint32(packed[headerBytes+6:])
	number := int(packed[headerBytes+10])
	if size < minBytes || uint64(size) > uint64(len(packed)) || number > len(model.Kinds) {
		return nil, "", errNoPieces
	}
	if number > 0 {
		kind = model.Kinds[number-1]
	}
	return packed[:size], kind, nil
}

// DecodeAfter decodes a record as Decode does, but takes unchanged pieces from before,
// the state that was read previously, which may be nil. It does not validate the model:
// selector.Recompile does. A record that is not packed in pieces is decoded whole.
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

// assemble builds the model from the members of its packed form.
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

// addMember adds a piece to the model. It takes the objects from the state before if old,
// the equal part of that state, is not nil.
func addMember(a *config.Assembly, before *State, old *part, packed []byte, kind model.ObjectKind) (part, error) {
	if old != nil {
		span, err := a.Reuse(before.Model, kind, old.span, old.trailingComma)
		return part{old.packed, kind, span, old.trailingComma}, err
	}
	text, err := unpack(packed)
	if err != nil {
		return part{}, err
	}
	span, err := a.Add(config.Piece{Kind: kind, Text: text})
	return part{string(packed), kind, span, bytes.HasSuffix(text, []byte(","))}, err
}
