package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/shallotstage/shallotstage/internal/explainer"
)

// explainCommand reconstructs from host logs what happened to a request.
type explainCommand struct {
	Request string   `arg:"positional,required" placeholder:"REQUEST_ID" help:"the id that the caller gave the request"`
	Logs    []string `arg:"--log,separate,required" placeholder:"FILE" help:"a host's log; repeat for each host"`
}

func (*explainCommand) check() error { return nil }

func (c *explainCommand) run(_ context.Context, stdout, _ io.Writer) error {
	var logs []io.Reader
	for _, name := range c.Logs {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("cli: open log: %w", err)
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, file)
	}
	trace, err := explainer.Explain(c.Request, logs...)
	if err != nil {
		return err
	}
	return trace.Write(stdout)
}
