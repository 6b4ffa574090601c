// Package settings holds sample settings scripts.
package settings

import _ "embed"

// Demo is the settings script of the demo. Operators can use it as a template.
//
//go:embed demo.star
var Demo string
