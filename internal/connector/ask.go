package connector

import (
	"context"
	"fmt"
	"time"

	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// askTimeout bounds a question whose context has no end.
const askTimeout = time.Second

// Ask asks an upstream for its standing, on a connection of its own.
func (d *Dialer) Ask(ctx context.Context, u keeper.Upstream, asker string) (Standing, error) {
	c, _, err := d.Dial(ctx, u, asker)
	if err != nil {
		return Standing{}, err
	}
	defer c.Close()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(askTimeout)
	}
	a, err := c.Do(deadline, Request{Verb: VerbStatus})
	if err != nil {
		return Standing{}, err
	}
	if a.Failure != FailureNone || a.Standing == nil {
		return Standing{}, fmt.Errorf("connector: upstream %s did not tell its standing: %s", u.ID, a.Detail)
	}
	return *a.Standing, nil
}
