package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/shallotstage/shallotstage/internal/benchmarker"
)

// surveyCommand measures the growth rates listed in docs/CAPACITY.md under
// "Slopes".
type surveyCommand struct {
	JSON bool `arg:"--json" help:"print JSON"`
}

func (*surveyCommand) check() error { return nil }

func (c *surveyCommand) run(_ context.Context, stdout, _ io.Writer) error {
	rows := benchmarker.Measure()
	if c.JSON {
		if err := json.NewEncoder(stdout).Encode(rows); err != nil {
			return fmt.Errorf("cli: write rows: %w", err)
		}
		return nil
	}
	for _, r := range rows {
		if _, err := fmt.Fprintln(stdout, r); err != nil {
			return fmt.Errorf("cli: write rows: %w", err)
		}
	}
	return nil
}
