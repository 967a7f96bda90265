// Package authenticator checks keys by SCRAM-SHA-256 on the server's side of
// the PostgreSQL protocol.
//
// # Usage
//
//	a := authenticator.Authenticator{Verifier: func(user string) (string, bool) { ... }}
//	if err := a.Authenticate(backend, user); err != nil { ... }
//
// A user without a verifier goes through the whole exchange and fails at its
// end, so that the answer does not tell which users exist.
package authenticator

import (
	"errors"
	"fmt"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

const mechanism = "SCRAM-SHA-256"

// ErrRejected means that the key does not fit the user.
var ErrRejected = errors.New("authenticator: key rejected")

// Authenticator checks keys against verifiers.
type Authenticator struct {
	// Verifier returns the verifier of a user, and false when there is none.
	Verifier func(user string) (string, bool)
}

// decoyVerifier belongs to no key.
var decoyVerifier = sync.OnceValues(func() (string, error) { return NewVerifier("decoy") })

func (a *Authenticator) lookup(user string) (scram.StoredCredentials, bool, error) {
	v, ok := a.Verifier(user)
	if !ok {
		decoy, err := decoyVerifier()
		if err != nil {
			return scram.StoredCredentials{}, false, err
		}
		v = decoy
	}
	c, err := parseVerifier(v)
	return c, ok, err
}

// Authenticate runs the exchange up to the server's last SASL message. The
// caller sends AuthenticationOk. It returns ErrRejected for a wrong key.
func (a *Authenticator) Authenticate(b *pgproto3.Backend, user string) error {
	credentials, known, err := a.lookup(user)
	if err != nil {
		return err
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return fmt.Errorf("authenticator: create server: %w", err)
	}
	b.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	if err := flushExpecting(b, pgproto3.AuthTypeSASL); err != nil {
		return err
	}
	msg, err := b.Receive()
	if err != nil {
		return fmt.Errorf("authenticator: receive initial response: %w", err)
	}
	initial, ok := msg.(*pgproto3.SASLInitialResponse)
	if !ok || initial.AuthMechanism != mechanism {
		return ErrRejected
	}
	conversation := server.NewConversation()
	challenge, err := conversation.Step(string(initial.Data))
	if err != nil {
		return ErrRejected
	}
	b.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	if err := flushExpecting(b, pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	msg, err = b.Receive()
	if err != nil {
		return fmt.Errorf("authenticator: receive response: %w", err)
	}
	response, ok := msg.(*pgproto3.SASLResponse)
	if !ok {
		return ErrRejected
	}
	final, err := conversation.Step(string(response.Data))
	if err != nil || !conversation.Valid() || !known {
		return ErrRejected
	}
	b.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return nil
}

// flushExpecting flushes and sets how the next password message is decoded.
func flushExpecting(b *pgproto3.Backend, authType uint32) error {
	if err := b.Flush(); err != nil {
		return fmt.Errorf("authenticator: flush: %w", err)
	}
	if err := b.SetAuthType(authType); err != nil {
		return fmt.Errorf("authenticator: set auth type: %w", err)
	}
	return nil
}
