package request

import "github.com/cespare/xxhash/v2"

// Fingerprint identifies something that requests may have in common, so that it is
// recognised when it comes again. Its lowest bits are its Scope, the others a hash.
type Fingerprint uint64

// Scope says what of a request a fingerprint covers.
type Scope uint8

// The scopes, the narrowest first.
const (
	// ScopePrompt covers the whole content with the prompt.
	ScopePrompt Scope = iota
	// ScopeContent covers the content without the prompt.
	ScopeContent
	// ScopePart covers a part of the prompt that other requests have too.
	ScopePart
)

// Single reports whether the scope covers one request, which may come again.
func (s Scope) Single() bool { return s == ScopePrompt || s == ScopeContent }

const scopeBits = 2

// FingerprintOf returns the fingerprint of some texts.
func FingerprintOf(s Scope, texts ...string) Fingerprint {
	d := xxhash.New()

	for _, text := range texts {
		_, _ = d.WriteString(text)
		_, _ = d.WriteString("\x00")
	}

	return Fingerprint(d.Sum64()<<scopeBits | uint64(s))
}

// Scope returns what the fingerprint covers.
func (f Fingerprint) Scope() Scope { return Scope(f & (1<<scopeBits - 1)) }

// Fingerprint identifies the request's model and whole content.
func (r *Request) Fingerprint() Fingerprint { return FingerprintOf(ScopePrompt, r.Model, r.Prompt) }

// Fingerprints returns all fingerprints of the request, the narrowest first.
func (r *Request) Fingerprints() []Fingerprint {
	return append([]Fingerprint{r.Fingerprint()}, r.Common...)
}
