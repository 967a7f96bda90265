package cli

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
)

// versionCommand prints the versions of the program and of Go.
type versionCommand struct{}

func (*versionCommand) check() error { return nil }

func (*versionCommand) run(_ context.Context, stdout, _ io.Writer) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version + " " + info.GoVersion
	}
	_, err := fmt.Fprintln(stdout, "shallotstage", version)
	return err
}
