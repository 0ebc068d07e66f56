package config_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/config"
	"tarragongw/core/selector"
	"tarragongw/examples"
)

func TestExamplesMatchSpecifiedSizes(t *testing.T) {
	tests := []struct {
		folder      string
		targets     map[string]int
		slots       int
		connections int
		divided     string
	}{
		{"shiretoko", map[string]int{"faq-viewer": 16, "answer-editor": 8, "media-vault": 13}, 6, 130, "faq-viewer"},
		{"balik-paninda", map[string]int{"listing-svc": 12, "ledger-svc": 7, "manifest-svc": 12}, 3, 120, "listing-svc"},
	}
	for _, tt := range tests {
		t.Run(tt.folder, func(t *testing.T) {
			m, err := config.LoadModelFS(examples.FS, tt.folder)
			assert.NilError(t, err)
			c, problems := selector.Compile(m)
			assert.Equal(t, len(problems), 0)
			count := map[string]int{}
			centres := map[string]bool{}
			for _, target := range m.Targets {
				count[target.Service]++
				centres[target.DataCentre] = true
				assert.Equal(t, target.Slots, tt.slots)
				assert.Equal(t, target.Connections, tt.connections)
			}
			assert.DeepEqual(t, count, tt.targets)
			assert.Equal(t, len(centres), 3)
			for name := range tt.targets {
				assert.Equal(t, len(c.Units(name)) > 0, name == tt.divided, name)
			}
		})
	}
}
