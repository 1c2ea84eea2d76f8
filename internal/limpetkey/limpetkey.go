// Package limpetkey owns callers' keys: their form, their hashes and the
// decision whose key came with a request. It never logs or stores a secret.
package limpetkey

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpeterror"
)

const (
	// Prefix starts every key, so that a key in a wrong place is found.
	Prefix      = "lmk_"
	secretBytes = 32
)

// New returns a new token for the key called name, and the hash to configure.
func New(name string) (token, hash string) {
	secret := make([]byte, secretBytes)
	// Read never fails; see crypto/rand.
	_, _ = rand.Read(secret)
	token = Prefix + name + "_" + base64.RawURLEncoding.EncodeToString(secret)
	return token, Hash(token)
}

// Hash returns the SHA-256 of a token in hex. Tokens carry 256 random bits,
// so that a slow password hash would add nothing.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// A Principal holds who a request runs for.
type Principal struct {
	Key     string
	Account string
	Role    limpetconfig.Role
}

// Bearer returns the token of an Authorization header.
func Bearer(header string) (string, error) {
	scheme, token, found := strings.Cut(header, " ")
	if header == "" {
		return "", limpeterror.Denied.New("no key: send it as Authorization: Bearer <key>")
	}
	if !found || !strings.EqualFold(scheme, "bearer") || token == "" {
		return "", limpeterror.Denied.New("malformed key: send it as Authorization: Bearer <key>")
	}
	return token, nil
}

// Authenticate returns the principal of a token. Suspended keys are refused
// as withdrawn ones are.
func Authenticate(d *limpetconfig.Document, suspended map[string]bool, token string) (Principal, error) {
	rest, found := strings.CutPrefix(token, Prefix)
	name := rest
	if i := len(rest) - base64.RawURLEncoding.EncodedLen(secretBytes) - 1; found && i > 0 {
		name = rest[:i]
	}
	key, exists := d.Keys[name]
	// The comparison runs for unknown names too, so that timing does not
	// tell which names exist.
	equal := subtle.ConstantTimeCompare([]byte(Hash(token)), []byte(key.Hash)) == 1
	if !found || !exists || !equal || suspended[name] {
		return Principal{}, limpeterror.Denied.New("unknown or withdrawn key")
	}
	return Principal{Key: name, Account: key.Account, Role: key.Role}, nil
}
