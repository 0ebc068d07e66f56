// Package examples holds the settings folders of two fictitious organisations, which
// `tarragongw dev` runs and tests read.
package examples

import "embed"

// FS holds the folders shiretoko and balik-paninda with their TOML files.
//
//go:embed shiretoko/*.toml balik-paninda/*.toml
var FS embed.FS
