package config

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/model"
	"tarragongw/core/selector"
	"tarragongw/examples"
)

func TestRecordRoundTrip(t *testing.T) {
	for _, folder := range []string{"shiretoko", "balik-paninda"} {
		m, err := LoadModelFS(examples.FS, folder)
		assert.NilError(t, err)
		m.Revision = 42
		data, err := Encode(m)
		assert.NilError(t, err)
		back, err := Decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, back, m)
		again, err := Encode(back)
		assert.NilError(t, err)
		assert.Equal(t, string(again), string(data))
		_, problems := selector.Compile(back)
		assert.Equal(t, len(problems), 0)
	}
}

func TestDecodeRejectsInvalidRecords(t *testing.T) {
	tests := []struct{ text, want string }{
		{``, "decode model: unexpected end of JSON input"},
		{`{"revision":1}`, "the record has format 0; this release reads format 1"},
		{`{"format":2,"revision":1}`, "the record has format 2; this release reads format 1"},
		{`{"format":1,"revision":1,"more":1}`, `decode model: json: unknown field "more"`},
		{`{"format":1,"revision":1,"services":[{"name":"a","more":1}]}`, `decode model: json: unknown field "more"`},
		{`{"format":1,"revision":-1}`, "cannot unmarshal number -1 into Go struct field"},
		{`{"format":1,"revision":1,"callers":[{"name":"a","weight":1},{"name":"a","weight":1}]}`, `caller "a": name: the name is used twice; give each caller a name of its own`},
		{`{"format":1,"revision":1,"selectors":[{"name":"a","service":"s","refuse":true,"keys":[{"label":"x","op":"like"}]}]}`, `decode model: "like" is none of =, !=, in, notin, exists, !exists`},
		{`{"format":1,"revision":1,"ranges":[{"name":"a","service":"s"}]}`, `range "a": service: there is no service "s"; create the service, or name an existing one`},
	}
	for _, tt := range tests {
		_, err := Decode([]byte(tt.text))
		assert.ErrorContains(t, err, tt.want)
	}
	_, err := Decode(make([]byte, MaxRecordSize+1))
	assert.Error(t, err, "the record has 8388609 bytes; at most 8388608 are allowed")
}

// fullModel returns a model with as many objects of each kind as are allowed.
func fullModel(t testing.TB) *model.Model {
	example := exampleModel(t)
	m := &model.Model{Services: example.Services}
	target, caller := *example.Target("media-vault-01"), example.Callers[0]
	for i := range model.MaxTargets {
		target.Name = fmt.Sprintf("media-vault-%05d", i)
		target.Address = fmt.Sprintf("10.%d.%d.%d:8080", i%3, i/251, i%251)
		m.Targets = append(m.Targets, target)
	}
	for i := range model.MaxRanges {
		from := fmt.Sprintf("shop-%07d", i*2654435761%10000000)
		m.Ranges = append(m.Ranges, model.KeyRange{Name: fmt.Sprintf("hot-%05d", i), Service: "faq-viewer", From: from, To: from, Labels: model.Labels{"heat": "hot"}})
	}
	for i := range model.MaxCallers {
		caller.Name = fmt.Sprintf("caller-%05d", i)
		m.Callers = append(m.Callers, caller)
	}
	for i := range model.MaxSelectors {
		m.Selectors = append(m.Selectors, model.Selector{Name: fmt.Sprintf("selector-%04d", i), Service: "media-vault", Priority: i, Refuse: true, Callers: model.Expr{{Label: "role", Op: model.In, Values: []string{fmt.Sprint("r", i), "export"}}}})
	}
	m.Sort()
	return m
}

// A model with all lists at their limits must fit: encoded, within the size limit of a
// record; compressed, within the store's limit of a megabyte.
func TestLargestModelFitsRecord(t *testing.T) {
	m := fullModel(t)
	data, err := Encode(m)
	assert.NilError(t, err)
	back, err := Decode(data)
	assert.NilError(t, err)
	assert.Equal(t, len(back.Targets), model.MaxTargets)
	pieces, err := EncodePieces(m, nil)
	assert.NilError(t, err)
	var text []byte
	for _, p := range pieces {
		text = append(text, p.Text...)
	}
	assert.Assert(t, bytes.Equal(text, data), "the pieces together differ from the record")

	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, err = w.Write(data)
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	t.Logf("the largest model takes %d bytes, compressed %d", len(data), compressed.Len())
	assert.Assert(t, compressed.Len() < 1_000_000)

	m.Callers = append(m.Callers, make([]model.Caller, MaxRecordSize/len(`{"name":""},`))...)
	_, err = EncodePieces(m, nil)
	assert.ErrorContains(t, err, "at most 8388608 are allowed")
	_, err = Encode(m)
	assert.ErrorContains(t, err, "at most 8388608 are allowed")
}

func FuzzDecode(f *testing.F) {
	for _, folder := range []string{"shiretoko", "balik-paninda"} {
		m, err := LoadModelFS(examples.FS, folder)
		assert.NilError(f, err)
		data, err := Encode(m)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Add([]byte(`{"format":1,"revision":1,"selectors":[{"name":"a","service":"s","callers":[{"label":"x","op":"in","values":["y"]}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		selector.Compile(m)
		first, err := Encode(m)
		if err != nil {
			return // Encoding can exceed the size limit where the input did not.
		}
		back, err := Decode(first)
		if err != nil {
			t.Fatalf("the encoding of a decoded model cannot be decoded: %v", err)
		}
		if second := mustEncode(back); second != string(first) {
			t.Fatalf("%s\nis decoded and encoded again as\n%s", first, second)
		}
	})
}
