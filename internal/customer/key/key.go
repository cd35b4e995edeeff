// Package key handles the keys that identify clients. A key is a secret: only its
// digest is stored and compared. The package does no I/O.
package key

import (
	"crypto/sha256"
	"strings"
)

// Digest is the SHA-256 of a client's key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// MissingError says that a request carries no readable key. It never contains what
// the request carried.
type MissingError struct{ Reason string }

func (e *MissingError) Error() string { return "no key: " + e.Reason }

// scheme is the name of the authentication scheme, in lower case.
const scheme = "bearer"

// FromHeader returns the digest of the single key in the lines of an Authorization
// header, as RFC 6750 and RFC 9110 define it: the scheme's name in any case, one
// or more spaces, the key. It fails with a *MissingError.
func FromHeader(lines []string) (Digest, error) {
	switch len(lines) {
	case 0:
		return Digest{}, &MissingError{Reason: "no header"}
	case 1:
	default:
		return Digest{}, &MissingError{Reason: "more than one header"}
	}

	name, text, found := strings.Cut(lines[0], " ")
	if !found || !strings.EqualFold(name, scheme) {
		return Digest{}, &MissingError{Reason: "another scheme"}
	}

	text = strings.TrimLeft(text, " ")
	if !wellFormed(text) {
		return Digest{}, &MissingError{Reason: "not well formed"}
	}

	return DigestOf(text), nil
}

// wellFormed reports whether text is a token68. A line with a comma or a space may
// contain two keys, and a target's proxy might read the other one.
func wellFormed(text string) bool {
	body := strings.TrimRight(text, "=")
	if body == "" {
		return false
	}

	for _, c := range []byte(body) {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		digit := '0' <= c && c <= '9'

		if !letter && !digit && !strings.ContainsRune("-._~+/", rune(c)) {
			return false
		}
	}

	return true
}
