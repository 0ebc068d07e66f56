// Package confstore keeps the operators' configuration in the platform's store:
// one record, changed by compare-and-swap, whose revision only grows.
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

// Key is the store key of the configuration and Prefix what a watch of it asks for.
const (
	Prefix = "config/"
	Key    = Prefix + "current"
)

const (
	// maxModelBytes bounds an unpacked model; a packed one is bounded by the store.
	maxModelBytes = config.MaxRecordSize
	// keptOps bounds the writes that a record remembers.
	keptOps = 16
)

// record is the value in the store. The packed model stays far below the store's
// limit for a value: names repeat, so it packs to about a tenth.
type record struct {
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	Ops      []kv.Op   `json:"ops"`
	// Model is config.Encode's form, packed by gzip, a member for each of its pieces.
	Model []byte `json:"model"`
}

// State is a configuration as read from the store.
type State struct {
	Model *model.Model
	// Author and Time are those of the last change.
	Author string
	Time   time.Time
	// Stored is the store's revision of the record; zero where there is none.
	Stored kv.Revision

	// Value is the record's value as stored.
	Value []byte

	ops []kv.Op
	// parts are where the pieces of the record went, if it could be read in pieces.
	parts []part
	// compiled is the model as Editor compiled it; nil where it did not.
	compiled *selector.Compiled
}

// Revision returns the configuration's own revision.
func (s *State) Revision() uint64 { return s.Model.Revision }

// Decode reads a record of the store.
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

// encode returns the value of the state with the operation id. What it has in common
// with before, which may be nil, is not encoded again.
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
		Ops:      ops[:min(len(ops), keptOps)],
		Model:    packed,
	})
}

// opsOf returns the writes that a record remembers.
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
