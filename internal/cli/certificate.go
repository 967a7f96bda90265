package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/shallotstage/shallotstage/internal/certifier"
)

// certificateCommand creates a certificate authority and issues the certificates
// of a fleet. The private key of the authority is not written.
type certificateCommand struct {
	Dir   string   `arg:"--dir" default:"certificates" placeholder:"DIR" help:"folder for the files"`
	Hosts []string `arg:"positional,required" help:"names of the processes"`
}

const (
	certificateMode = 0o644
	keyMode         = 0o600
	directoryMode   = 0o700
)

func (c *certificateCommand) check() error { return checkNotEmpty("--dir", c.Dir) }

func (c *certificateCommand) run(_ context.Context, stdout, _ io.Writer) error {
	if err := os.MkdirAll(c.Dir, directoryMode); err != nil {
		return fmt.Errorf("cli: create folder: %w", err)
	}
	authority, err := certifier.NewAuthority("shallotstage fleet")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.Dir, "authority.crt"), authority.CertificatePEM, certificateMode); err != nil {
		return fmt.Errorf("cli: write authority: %w", err)
	}
	for _, host := range c.Hosts {
		cert, key, err := authority.Issue(host)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(c.Dir, host+".crt"), cert, certificateMode); err != nil {
			return fmt.Errorf("cli: write certificate: %w", err)
		}
		if err := os.WriteFile(filepath.Join(c.Dir, host+".key"), key, keyMode); err != nil {
			return fmt.Errorf("cli: write key: %w", err)
		}
	}
	_, err = fmt.Fprintf(stdout, "wrote %d certificates to %s; the authority's key was not kept\n", len(c.Hosts), c.Dir)
	return err
}
