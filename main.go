// Command shallotstage is a database proxy with session consistency.
package main

import (
	"os"

	"github.com/shallotstage/shallotstage/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
