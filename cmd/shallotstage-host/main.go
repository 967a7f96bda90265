// Command shallotstage-host runs one host of a fleet on the users' platform.
//
// # Usage
//
//	SHALLOTSTAGE_CONFIG=node.toml shallotstage-host entry
//	SHALLOTSTAGE_CONFIG=node.toml shallotstage-host control
//	shallotstage-host route-explain --address HOST:PORT --route ledger --organisation acme
package main

import "os"

func main() { os.Exit(run()) }
