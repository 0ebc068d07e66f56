// Package confstore keeps the operators' configuration in the platform's store as
// one record. It is changed by compare-and-swap and its revision only increases.
package confstore

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"tarragongw/config"
	"tarragongw/core/model"
	"tarragongw/core/selector"
	"tarragongw/kv"
)

// Key is the store key of the configuration and Prefix the key prefix to watch.
const (
	Prefix = "config/"
	Key    = Prefix + "current"
)

const (
	// maxModelBytes bounds an unpacked model; the store bounds a packed one.
	maxModelBytes = config.MaxRecordSize
	// maxRecordedOps bounds the number of latest writes that a record lists.
	maxRecordedOps = 16
)

// record is the value in the store. The packed model stays far below the store's
// limit for a value: names repeat, so it compresses to about a tenth.
type record struct {
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	Ops      []kv.Op   `json:"ops"`
	// Model is the output of config.Encode, compressed by gzip with one member for each
	// piece.
	Model []byte `json:"model"`
}

// State is a configuration as read from the store.
type State struct {
	Model *model.Model
	// Author and Time describe the last change.
	Author string
	Time   time.Time
	// Stored is the store's revision of the record; zero if there is no record.
	Stored kv.Revision

	// Value is the record's value as stored.
	Value []byte

	ops []kv.Op
	// parts are the pieces of the record, if it was read or written in pieces.
	parts []part
	// compiled is the model as compiled by Editor; nil if Editor did not compile it.
	compiled *selector.Compiled
}

// Revision returns the configuration's own revision.
func (s *State) Revision() uint64 { return s.Model.Revision }

// Decode decodes a record of the store.
func Decode(rec kv.Record) (*State, error) {
	var r record
	if err := json.Unmarshal(rec.Value, &r); err != nil {
		return nil, errors.Wrap(err, "decode the configuration's record")
	}
	data, err := unpack(r.Model)
	if err != nil {
		return nil, err
	}
	m, err := config.Decode(data)
	if err != nil {
		return nil, errors.Wrap(err, "decode the configuration's model")
	}
	m.Revision = r.Revision
	return &State{Model: m, Author: r.Author, Time: r.Time, Stored: rec.Revision, Value: rec.Value, ops: r.Ops}, nil
}

// encode returns the state as a record's value that lists the operation ID opID. Pieces
// that are equal in before, which may be nil, are copied instead of encoded again.
func (s *State) encode(opID string, before *State) ([]byte, error) {
	packed, parts, err := pack(s.Model, before)
	if err != nil {
		return nil, err
	}
	s.parts = parts
	ops := append([]kv.Op{{ID: opID, Base: s.Stored}}, s.ops...)
	return json.Marshal(&record{
		Revision: s.Model.Revision,
		Author:   s.Author,
		Time:     s.Time,
		Ops:      ops[:min(len(ops), maxRecordedOps)],
		Model:    packed,
	})
}

// opsOf returns the writes that a record lists.
func opsOf(value []byte) ([]kv.Op, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Wrap(err, "decode the configuration's record")
	}
	return r.Ops, nil
}

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "unpack the model")
	}
	data, err := io.ReadAll(io.LimitReader(r, maxModelBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack the model")
	}
	if len(data) > maxModelBytes {
		return nil, errors.Errorf("unpack the model: it exceeds %d bytes", maxModelBytes)
	}
	return data, nil
}
