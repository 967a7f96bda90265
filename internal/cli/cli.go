// Package cli implements the command line, with one file per command.
//
// # Usage
//
//	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
//
// Every setting of a process is a flag and an environment variable. An invalid one is
// named with the allowed values, and the exit status is 2.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// arguments holds the given command; the others are nil.
type arguments struct {
	Serve       *serveCommand       `arg:"subcommand:serve" help:"run an entry host"`
	Control     *controlCommand     `arg:"subcommand:control" help:"run a control host"`
	Intent      *intentCommand      `arg:"subcommand:intent" help:"ask for a change and get its plan"`
	Plan        *planCommand        `arg:"subcommand:plan" help:"read, discuss, confirm or reject a plan"`
	Record      *recordCommand      `arg:"subcommand:record" help:"print the written record"`
	Report      *reportCommand      `arg:"subcommand:report" help:"print how much of each service level's error budget was burned, and by what"`
	Explain     *explainCommand     `arg:"subcommand:explain" help:"tell from hosts' logs what became of a request"`
	Certificate *certificateCommand `arg:"subcommand:certificate" help:"make the certificates of a fleet"`
	Verifier    *verifierCommand    `arg:"subcommand:verifier" help:"print the stored forms of a secret"`
	Load        *loadCommand        `arg:"subcommand:load" help:"send an open-loop load and measure what callers see"`
	Demo        *demoCommand        `arg:"subcommand:demo" help:"run a whole fleet in this process"`
	Survey      *surveyCommand      `arg:"subcommand:survey" help:"measure the slopes of docs/CAPACITY.md"`
	Upstream    *upstreamCommand    `arg:"subcommand:upstream" help:"run a stand-in upstream, for tests and demonstrations"`
	Version     *versionCommand     `arg:"subcommand:version" help:"print the version"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "shallotstage is a database proxy with session consistency."
}

// SettingError reports an invalid value of a setting.
type SettingError struct {
	Setting string
	Value   string
	Allowed string
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s is %q; allowed: %s", e.Setting, e.Value, e.Allowed)
}

// command is a subcommand.
type command interface {
	// check returns an error, usually a SettingError, if a setting is invalid.
	check() error
	run(ctx context.Context, stdout, stderr io.Writer) error
}

// Run executes a command and returns the exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "shallotstage", Out: stdout}, &a)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(stdout)
		return exitOK
	case err != nil:
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	c, ok := parser.Subcommand().(command)
	if !ok {
		parser.WriteHelp(stdout)
		return exitUsage
	}
	if err := c.check(); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := c.run(ctx, stdout, stderr); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}
