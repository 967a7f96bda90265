package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/shallotstage/shallotstage/internal/certifier"
)

// certificateCommand makes an authority and the certificates of a fleet.
type certificateCommand struct {
	Dir   string   `arg:"--dir" default:"certificates" placeholder:"DIR" help:"folder for the files"`
	Hosts []string `arg:"positional,required" help:"names of the processes"`
}

const (
	certificateMode = 0o644
	keyMode         = 0o600
	folderMode      = 0o700
)

func (c *certificateCommand) check() error { return checkNotEmpty("--dir", c.Dir) }

func (c *certificateCommand) run(_ context.Context, stdout, _ io.Writer) error {
	if err := os.MkdirAll(c.Dir, folderMode); err != nil {
		return fmt.Errorf("cli: create folder: %w", err)
	}
	a, err := certifier.NewAuthority("shallotstage fleet")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.Dir, "authority.crt"), a.PEM, certificateMode); err != nil {
		return fmt.Errorf("cli: write authority: %w", err)
	}
	for _, host := range c.Hosts {
		cert, key, err := a.Issue(host)
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
