package record

import "time"

// Claim is the row of a request that may not be repeated.
type Claim struct {
	Digest  string    `json:"digest"`
	Entry   string    `json:"entry"`
	Process string    `json:"process"`
	WriteID string    `json:"writeId"`
	State   string    `json:"state"`
	At      time.Time `json:"at"`
	// Status, ContentType and Body are the answer of a request that is done.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Object names the answer's body in the object store when it is large.
	Object string `json:"object,omitempty"`
}

// EncodeClaim maps a claim to its row.
func EncodeClaim(c Claim) []byte { return encode(c) }

// DecodeClaim maps a row to a claim.
func DecodeClaim(key string, data []byte) (Claim, error) {
	var c Claim

	err := decode(key, data, &c)

	return c, err
}
