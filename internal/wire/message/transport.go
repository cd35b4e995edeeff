package message

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
)

// Transport makes calls whose answers are checked before anyone reads a field of them. It is for calls
// whose answers must be whole to be believed: one that does not state its length is invalid, too,
// since nothing shows that its end was not cut off.
type Transport struct {
	// Base makes the calls; nil means http.DefaultTransport.
	Base http.RoundTripper
}

// DefaultClient makes calls by a Transport and has no other settings.
var DefaultClient = &http.Client{Transport: &Transport{}}

// RoundTrip implements http.RoundTripper. It fails with an *InvalidError if the answer is invalid.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	base := t.Base
	if base == nil {
		base = http.DefaultTransport
	}

	trace := &httptrace.ClientTrace{Got1xxResponse: checkInterim}

	resp, err := base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}

	if err := checkParsed(resp, r.Method); err != nil {
		_ = resp.Body.Close() // Nothing of it is read.

		return nil, err
	}

	return resp, nil
}

// CloseIdleConnections lets http.Client close idle connections.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// checkInterim returns an *InvalidError if the head of an interim answer is invalid.
func checkInterim(status int, h textproto.MIMEHeader) error {
	if len(h["Content-Length"])+len(h["Transfer-Encoding"]) > 0 {
		return &InvalidError{"status " + strconv.Itoa(status) + " with a body"}
	}

	return checkFields(http.Header(h))
}

// checkParsed returns an *InvalidError if an answer is invalid that net/http has read.
func checkParsed(resp *http.Response, method string) error {
	switch {
	case !validStatus(resp.StatusCode):
		return &InvalidError{"status " + strconv.Itoa(resp.StatusCode)}
	case resp.ProtoMajor != 1 || resp.ProtoMinor > 1:
		return &InvalidError{"version " + strconv.Quote(resp.Proto)}
	}

	if err := checkFields(resp.Header); err != nil {
		return err
	}

	// What else frames an answer, net/http has checked and taken out of its fields.
	f := framing{status: resp.StatusCode, lengths: len(resp.Header["Content-Length"]), length: resp.Header.Get("Content-Length")}
	if err := f.check(); err != nil {
		return err
	}

	if !StatesLength(resp) && method != http.MethodHead {
		return &InvalidError{"no length"}
	}

	return nil
}

// StatesLength reports whether an answer states where it ends. Otherwise it ends with its connection.
func StatesLength(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

func checkFields(h http.Header) error {
	for name, values := range h {
		for _, v := range values {
			if err := checkField(name, v); err != nil {
				return err
			}
		}
	}

	return nil
}

// ReadAll reads an answer's body, which must be no longer than limit.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = &InvalidError{"body too long"}
	}

	return data, err
}
