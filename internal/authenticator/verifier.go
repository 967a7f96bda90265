package authenticator

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/xdg-go/scram"
)

// iterations is the iteration count of new verifiers, PostgreSQL's default.
const iterations = 4096

// saltBytes is the salt length of new verifiers.
const saltBytes = 16

// NewVerifier returns the SCRAM verifier of a key in PostgreSQL's format.
func NewVerifier(key string) (string, error) {
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(salt); err != nil {
		return "", fmt.Errorf("authenticator: read salt: %w", err)
	}
	client, err := scram.SHA256.NewClient("", key, "")
	if err != nil {
		return "", fmt.Errorf("authenticator: prepare key: %w", err)
	}
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return "", fmt.Errorf("authenticator: derive verifier: %w", err)
	}
	enc := base64.StdEncoding
	return fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s", iterations, enc.EncodeToString(salt),
		enc.EncodeToString(c.StoredKey), enc.EncodeToString(c.ServerKey)), nil
}

// parseVerifier parses a verifier in the format of NewVerifier.
func parseVerifier(s string) (scram.StoredCredentials, error) {
	var c scram.StoredCredentials
	parts := strings.Split(s, "$")
	if len(parts) != 3 || parts[0] != "SCRAM-SHA-256" {
		return c, fmt.Errorf("authenticator: verifier is not SCRAM-SHA-256")
	}
	iters, salt, ok1 := strings.Cut(parts[1], ":")
	stored, server, ok2 := strings.Cut(parts[2], ":")
	if !ok1 || !ok2 {
		return c, fmt.Errorf("authenticator: malformed SCRAM-SHA-256 verifier")
	}
	n, err := strconv.Atoi(iters)
	if err != nil {
		return c, fmt.Errorf("authenticator: parse iteration count of verifier: %w", err)
	}
	c.Iters = n
	rawSalt, err := base64.StdEncoding.DecodeString(salt)
	if err != nil {
		return c, fmt.Errorf("authenticator: decode salt of verifier: %w", err)
	}
	c.Salt = string(rawSalt)
	if c.StoredKey, err = base64.StdEncoding.DecodeString(stored); err != nil {
		return c, fmt.Errorf("authenticator: decode stored key of verifier: %w", err)
	}
	if c.ServerKey, err = base64.StdEncoding.DecodeString(server); err != nil {
		return c, fmt.Errorf("authenticator: decode server key of verifier: %w", err)
	}
	return c, nil
}
