// Package authenticator implements the server side of SCRAM-SHA-256
// authentication in the PostgreSQL protocol.
//
// # Usage
//
//	a := authenticator.Authenticator{Verifier: func(user string) (string, bool) { ... }}
//	if err := a.Authenticate(backend, user); err != nil { ... }
//
// For a user without a verifier the whole exchange takes place and fails at its
// end, so that the response does not reveal which users exist.
package authenticator

import (
	"errors"
	"fmt"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

const mechanism = "SCRAM-SHA-256"

// ErrRejected means that authentication failed: the key is wrong, the user is
// unknown or the client broke the SASL exchange.
var ErrRejected = errors.New("authenticator: key rejected")

// Authenticator authenticates users by key against stored SCRAM verifiers.
type Authenticator struct {
	// Verifier returns the SCRAM verifier of a user, and false if there is none.
	Verifier func(user string) (string, bool)
}

// dummyVerifier is used in the exchange with unknown users, which always fails.
var dummyVerifier = sync.OnceValues(func() (string, error) { return NewVerifier("decoy") })

func (a *Authenticator) lookup(user string) (scram.StoredCredentials, bool, error) {
	v, ok := a.Verifier(user)
	if !ok {
		dummy, err := dummyVerifier()
		if err != nil {
			return scram.StoredCredentials{}, false, err
		}
		v = dummy
	}
	c, err := parseVerifier(v)
	return c, ok, err
}

// Authenticate runs the SASL exchange and queues the server's final message. The
// caller sends AuthenticationOk and flushes. It returns ErrRejected if the key is
// wrong or the user unknown.
func (a *Authenticator) Authenticate(b *pgproto3.Backend, user string) error {
	credentials, known, err := a.lookup(user)
	if err != nil {
		return err
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return fmt.Errorf("authenticator: create SCRAM server: %w", err)
	}
	b.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	if err := flushAndExpect(b, pgproto3.AuthTypeSASL); err != nil {
		return err
	}
	msg, err := b.Receive()
	if err != nil {
		return fmt.Errorf("authenticator: receive SASL initial response: %w", err)
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
	if err := flushAndExpect(b, pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	msg, err = b.Receive()
	if err != nil {
		return fmt.Errorf("authenticator: receive SASL response: %w", err)
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

// flushAndExpect flushes b and sets the authentication type by which it decodes
// the next password message.
func flushAndExpect(b *pgproto3.Backend, authType uint32) error {
	if err := b.Flush(); err != nil {
		return fmt.Errorf("authenticator: flush: %w", err)
	}
	if err := b.SetAuthType(authType); err != nil {
		return fmt.Errorf("authenticator: set authentication type: %w", err)
	}
	return nil
}
