package configurer

import (
	"errors"
	"fmt"
	"strings"
)

// Key lets callers act for an organisation. Only its verifier is kept.
type Key struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	// Verifier has the form SCRAM-SHA-256$iterations:salt$stored:server, as
	// PostgreSQL keeps it in pg_authid.
	Verifier  string `json:"verifier"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Validate returns an error when a field is missing or malformed.
func (k Key) Validate() error {
	if k.ID == "" || k.Organisation == "" {
		return errors.New("configurer: key needs an id and an organisation")
	}
	if !strings.HasPrefix(k.Verifier, "SCRAM-SHA-256$") {
		return fmt.Errorf("configurer: key %s: verifier must be SCRAM-SHA-256", k.ID)
	}
	return nil
}
