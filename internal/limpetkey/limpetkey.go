// Package limpetkey defines the format and hashing of bearer keys and
// authenticates requests by them. It never logs or stores a secret.
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
	// Prefix starts every token, so that tokens outside the Authorization
	// header can be detected.
	Prefix      = "lmk_"
	secretBytes = 32
)

// Generate generates a token for the key with the given name. It returns the
// token and the hash to store in the configuration.
func Generate(name string) (token, hash string) {
	secret := make([]byte, secretBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(secret)
	token = Prefix + name + "_" + base64.RawURLEncoding.EncodeToString(secret)
	return token, Hash(token)
}

// Hash returns the SHA-256 of a token in hex. A slow password hash would not add
// security, since a token has 256 random bits.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// A Principal identifies the key, client account and role that a request was
// authenticated as.
type Principal struct {
	Key     string
	Account string
	Role    limpetconfig.Role
}

// BearerToken returns the bearer token of an Authorization header. Its errors have
// type Denied.
func BearerToken(header string) (string, error) {
	scheme, token, found := strings.Cut(header, " ")
	if header == "" {
		return "", limpeterror.Denied.New("no key: send it as Authorization: Bearer <key>")
	}
	if !found || !strings.EqualFold(scheme, "bearer") || token == "" {
		return "", limpeterror.Denied.New("malformed key: send it as Authorization: Bearer <key>")
	}
	return token, nil
}

// Authenticate returns the principal of a token. Its errors have type Denied.
// Suspended keys are rejected with the same error as withdrawn ones.
func Authenticate(d *limpetconfig.Document, suspended map[string]bool, token string) (Principal, error) {
	rest, prefixed := strings.CutPrefix(token, Prefix)
	name := rest
	if i := len(rest) - base64.RawURLEncoding.EncodedLen(secretBytes) - 1; prefixed && i > 0 {
		name = rest[:i]
	}
	key, exists := d.Keys[name]
	// The comparison also runs for unknown names, so that response times do not
	// reveal which names exist.
	equal := subtle.ConstantTimeCompare([]byte(Hash(token)), []byte(key.Hash)) == 1
	if !prefixed || !exists || !equal || suspended[name] {
		return Principal{}, limpeterror.Denied.New("unknown or withdrawn key")
	}
	return Principal{Key: name, Account: key.Account, Role: key.Role}, nil
}
