package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"tarragongw/core/model"
)

const (
	// RecordFormat is the version of the encoding. A router refuses a format that it
	// does not know, because skipping a field could send keys to the wrong target.
	RecordFormat = 1
	// MaxRecordSize is the size in bytes of the largest encoded model. A model in which
	// every list has its greatest length fits. The store holds the record compressed, far
	// below the store's limit of a megabyte.
	MaxRecordSize = 8 << 20
)

// record is the encoded form of a model.
type record struct {
	Format int `json:"format"`
	*model.Model
}

// Encode returns the model as a record for the store and for other routers. The encoding is
// deterministic: equal models give equal bytes. The model must be sorted.
func Encode(m *model.Model) ([]byte, error) {
	data, err := json.Marshal(record{RecordFormat, m})
	if err != nil {
		return nil, errors.Wrap(err, "encode model")
	}
	if len(data) > MaxRecordSize {
		return nil, errors.Errorf("the encoded model has %d bytes; at most %d are allowed", len(data), MaxRecordSize)
	}
	return data, nil
}

// Decode decodes a record. It rejects records that are too large, of an unknown format, with
// unknown fields or with trailing text, and models that model.Validate rejects. It does not
// check selectors; selector.Compile does.
func Decode(data []byte) (*model.Model, error) {
	if len(data) > MaxRecordSize {
		return nil, errors.Errorf("the record has %d bytes; at most %d are allowed", len(data), MaxRecordSize)
	}
	var format struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &format); err != nil {
		return nil, errors.Wrap(err, "decode model")
	}
	if format.Format != RecordFormat {
		return nil, errors.Errorf("the record has format %d; this release reads format %d", format.Format, RecordFormat)
	}
	r := record{Model: &model.Model{}}
	if err := decodeStrictly(data, &r); err != nil {
		return nil, errors.Wrap(err, "decode model")
	}
	r.Model.Sort()
	if problems := model.Validate(r.Model); len(problems) > 0 {
		return nil, ErrorsFromProblems(problems)
	}
	return r.Model, nil
}

// decodeStrictly decodes exactly one JSON value. It rejects unknown fields and trailing text.
func decodeStrictly(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("unexpected text after the record")
	}
	return nil
}

// ErrorsFromProblems converts the problems of a model that was not read from a file to Errors.
func ErrorsFromProblems(problems []model.Problem) Errors {
	errs := make(Errors, 0, len(problems))
	for _, p := range problems {
		mend := p.Fix
		p.Fix = ""
		errs = append(errs, Error{Text: p.Error(), Fix: mend})
	}
	return errs
}
