package config

import (
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/model"
	"tarragongw/examples"
)

func TestFormatRoundTrip(t *testing.T) {
	for _, folder := range []string{"shiretoko", "balik-paninda"} {
		m, err := LoadModelFS(examples.FS, folder)
		assert.NilError(t, err)
		back, err := ParseModel([]File{{"m.toml", Format(m)}})
		assert.NilError(t, err)
		assert.DeepEqual(t, back, m)
	}
}

// Zero values must be written if they differ from the default, and range keys may contain
// any text.
func TestFormatWritesNonDefaultValues(t *testing.T) {
	m := editedCopy(t, exampleModel(t), func(m *model.Model) {
		m.Ranges[0].From, m.Ranges[0].To = "a\x7f\"\\\n\x00é\u2028", "b<&>"
		s := m.Service("faq-viewer")
		s.Caller = model.Extract{}
		s.Weights = model.Weights{}
		s.BatchShare = 0
		s.Hosts = []string{"a.example", "b.example"}
		m.Service("media-vault").Class = model.Extract{Default: "batch"}
		m.Target("media-vault-01").Labels = model.Labels{"a.b/c": "x", "pool": "upload"}
	})
	back, err := ParseModel([]File{{"m.toml", Format(m)}})
	assert.NilError(t, err)
	assert.DeepEqual(t, back, m)
	assert.Equal(t, formatValue(&m.Service("faq-viewer").Weights), "{ imbalance = 0, churn = 0, unavailable = 0 }")
}
