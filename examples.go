// Package comfreyridge holds the sample folders that are built into the
// program.
package comfreyridge

import "embed"

// Examples holds the sample folders below "examples", one for each user.
//
//go:embed examples/*/*.yaml examples/*/hosts.json
var Examples embed.FS
