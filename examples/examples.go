// Package examples embeds the example settings trees of two deployments.
package examples

import _ "embed"

// Cavyhaven is the settings tree of the deployment of Cavyhaven Rehoming, in TOML.
//
//go:embed cavyhaven.toml
var Cavyhaven []byte

// Thibodeaux is the settings tree of the deployment of Thibodeaux & Pruitt, in TOML.
//
//go:embed thibodeaux.toml
var Thibodeaux []byte
