// Package settings holds the sample settings scripts.
package settings

import _ "embed"

// Demo is the script that the demo runs with; operators may start theirs from it.
//
//go:embed demo.star
var Demo string
