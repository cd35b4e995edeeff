package key

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFromHeader(t *testing.T) {
	for name, lines := range map[string][]string{
		"plain":             {"Bearer k1"},
		"scheme in capital": {"BEARER k1"},
		"scheme in small":   {"bearer k1"},
		"more spaces":       {"Bearer   k1"},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := FromHeader(lines)
			assert.NilError(t, err)
			assert.Equal(t, got, DigestOf("k1"))
		})
	}

	got, err := FromHeader([]string{"Bearer a-b.c_d~e+f/g=="})
	assert.NilError(t, err)
	assert.Equal(t, got, DigestOf("a-b.c_d~e+f/g=="))
}

// TestFromHeaderRefuses guards against a header line from which this system and a
// target would read different keys, and against an error text that contains a key.
func TestFromHeaderRefuses(t *testing.T) {
	for name, lines := range map[string][]string{
		"none":            nil,
		"two lines":       {"Bearer k1", "Bearer k2"},
		"same line twice": {"Bearer k1", "Bearer k1"},
		"two in a line":   {"Bearer k1, Bearer k2"},
		"two keys":        {"Bearer k1 k2"},
		"other scheme":    {"Basic k1"},
		"longer scheme":   {"Bearers k1"},
		"no key":          {"Bearer "},
		"only padding":    {"Bearer =="},
		"padding inside":  {"Bearer k=1"},
		"no space":        {"Bearerk1"},
		"tab":             {"Bearer\tk1"},
		"empty":           {""},
		"key alone":       {"k1"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := FromHeader(lines)

			var missing *MissingError

			assert.Assert(t, errors.As(err, &missing))
			assert.Assert(t, !strings.Contains(err.Error(), "k1"))
		})
	}
}
