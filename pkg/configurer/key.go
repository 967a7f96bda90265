package configurer

import (
	"errors"
	"fmt"
	"strings"
)

// Key is a credential with which clients authenticate as an organisation. Only
// its verifier is stored.
type Key struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	// Verifier has the form SCRAM-SHA-256$iterations:salt$stored:server, which
	// PostgreSQL also uses in pg_authid.
	Verifier  string `json:"verifier"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Validate returns an error if a field is missing or malformed.
func (k Key) Validate() error {
	if k.ID == "" || k.Organisation == "" {
		return errors.New("configurer: key needs an id and an organisation")
	}
	if !strings.HasPrefix(k.Verifier, "SCRAM-SHA-256$") {
		return fmt.Errorf("configurer: key %s: verifier must be SCRAM-SHA-256", k.ID)
	}
	return nil
}
