package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/shallotstage/shallotstage/internal/authenticator"
	"github.com/shallotstage/shallotstage/internal/operator"
)

// verifierCommand prints the forms in which a secret is stored: the verifier of a
// caller's key and the digest of an operator's token.
type verifierCommand struct {
	Secret string `arg:"--secret,required,env:SHALLOTSTAGE_SECRET" help:"a caller's key or an operator's token"`
}

func (c *verifierCommand) check() error { return checkNotEmpty("--secret", c.Secret) }

func (c *verifierCommand) run(_ context.Context, stdout, _ io.Writer) error {
	v, err := authenticator.NewVerifier(c.Secret)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "key verifier:   %s\noperator token: %s\n", v, operator.TokenDigest(c.Secret))
	return err
}
