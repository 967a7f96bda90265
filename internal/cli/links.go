package cli

import (
	"crypto/tls"
	"fmt"
	"net"

	"github.com/shallotstage/shallotstage/internal/certifier"
	"github.com/shallotstage/shallotstage/internal/linker"
)

// linkSettings configures TLS for the connections between processes of the fleet.
type linkSettings struct {
	LinkCert      string `arg:"--link-cert,env:SHALLOTSTAGE_LINK_CERT" placeholder:"FILE" help:"this process's certificate towards the fleet"`
	LinkKey       string `arg:"--link-key,env:SHALLOTSTAGE_LINK_KEY" placeholder:"FILE" help:"its key"`
	LinkAuthority string `arg:"--link-authority,env:SHALLOTSTAGE_LINK_AUTHORITY" placeholder:"FILE" help:"the fleet's authority"`
	LinkInsecure  bool   `arg:"--link-insecure,env:SHALLOTSTAGE_LINK_INSECURE" help:"connect to the fleet without certificates, on loopback only"`
}

func (s linkSettings) check() error {
	complete := s.LinkCert != "" && s.LinkKey != "" && s.LinkAuthority != ""
	if complete == s.LinkInsecure {
		return &SettingError{Setting: "--link-cert", Value: s.LinkCert, Allowed: "--link-cert, --link-key and --link-authority together, or --link-insecure alone"}
	}
	return nil
}

func (s linkSettings) linker() (linker.Linker, error) {
	if s.LinkInsecure {
		return linker.Linker{}, nil
	}
	cfg, err := certifier.MutualConfig(s.LinkCert, s.LinkKey, s.LinkAuthority)
	if err != nil {
		return linker.Linker{}, err
	}
	return linker.Linker{TLS: cfg}, nil
}

// serverTLS returns the TLS configuration of a server, or nil when no certificate
// is set.
func serverTLS(cert, key string) (*tls.Config, error) {
	if cert == "" && key == "" {
		return nil, nil
	}
	return certifier.ServerConfig(cert, key)
}

func listen(setting, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("cli: listen for %s: %w", setting, err)
	}
	return l, nil
}

// checkAddress returns a SettingError unless value has the form host:port.
func checkAddress(setting, value string) error {
	if _, _, err := net.SplitHostPort(value); err != nil {
		return &SettingError{Setting: setting, Value: value, Allowed: "HOST:PORT"}
	}
	return nil
}

func checkNotEmpty(setting, value string) error {
	if value == "" {
		return &SettingError{Setting: setting, Value: value, Allowed: "a value that is not empty"}
	}
	return nil
}

// firstError returns the first non-nil error.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
