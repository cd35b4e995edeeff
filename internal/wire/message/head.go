// Package message reads the heads of HTTP/1 answers. It checks each of them as a whole, against RFC 9110
// and RFC 9112, before anyone reads a field of it.
//
// Package net/http accepts more: a status of 000, which its readers then take for an interim one, and
// names of fields with a blank, whose fields nobody finds, so that a length is overlooked.
package message

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// InvalidError reports that the head of an answer is invalid. No field of it can be relied on.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return "invalid head: " + e.Reason }

const (
	// versionSize is the length of the version in a status line, and statusSize that of the version,
	// a blank and the status.
	versionSize = len("HTTP/1.1")
	statusSize  = versionSize + len(" 200")
	// maxStatus is the highest status.
	maxStatus = 599
)

// check returns an *InvalidError if a head, with the blank line that ends it, is invalid.
func check(head []byte) error {
	var f framing

	// crlf says how the first line ends, as all others must.
	crlf := false

	for first := true; ; first = false {
		line, rest, _ := bytes.Cut(head, []byte("\n"))
		line, returned := bytes.CutSuffix(line, []byte("\r"))
		head = rest

		if first {
			crlf = returned
		}

		switch {
		case returned != crlf:
			return &InvalidError{"lines end in two ways"}
		case first:
			if err := f.checkStatusLine(line); err != nil {
				return err
			}
		case len(line) == 0:
			return f.check()
		default:
			if err := f.readField(line); err != nil {
				return err
			}
		}
	}
}

// framing is what a head says of where its answer ends.
type framing struct {
	status int
	// http10 is set for version 1.0, which has no transfer encodings.
	http10 bool
	// lengths and encodings are the numbers of fields that state a length, and a transfer encoding,
	// of which length and encoding are the last ones.
	lengths, encodings int
	length, encoding   string
}

func (f *framing) checkStatusLine(line []byte) error {
	if len(line) < statusSize || line[versionSize] != ' ' {
		return &InvalidError{"no status line"}
	}

	version, code, reason := string(line[:versionSize]), line[versionSize+1:statusSize], line[statusSize:]

	if f.http10 = version == "HTTP/1.0"; !f.http10 && version != "HTTP/1.1" {
		return &InvalidError{"version " + strconv.Quote(version)}
	}

	if !isNumber(code) {
		return &InvalidError{"status " + strconv.Quote(string(code))}
	}

	f.status, _ = strconv.Atoi(string(code)) // Three digits.

	if !validStatus(f.status) {
		return &InvalidError{"status " + string(code)}
	}

	if len(reason) > 0 && (reason[0] != ' ' || !httpguts.ValidHeaderFieldValue(string(reason))) {
		return &InvalidError{"reason phrase"}
	}

	return nil
}

// validStatus reports whether a status exists. Nobody here asks for another protocol.
func validStatus(status int) bool {
	return status >= http.StatusContinue && status <= maxStatus && status != http.StatusSwitchingProtocols
}

func isNumber(text []byte) bool {
	for _, c := range text {
		if c < '0' || c > '9' {
			return false
		}
	}

	return len(text) > 0
}

func (f *framing) readField(line []byte) error {
	name, value, found := strings.Cut(string(line), ":")
	if !found {
		return &InvalidError{"field name " + strconv.Quote(name)}
	}

	value = strings.Trim(value, " \t")
	if err := checkField(name, value); err != nil {
		return err
	}

	switch {
	case strings.EqualFold(name, "Content-Length"):
		f.lengths++
		f.length = value
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.encodings++
		f.encoding = value
	}

	return nil
}

func checkField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return &InvalidError{"field name " + strconv.Quote(name)}
	}

	if !httpguts.ValidHeaderFieldValue(value) {
		return &InvalidError{"value of field " + name}
	}

	return nil
}

// check returns an error unless the head says in at most one way where its answer ends.
func (f *framing) check() error {
	noBody := f.status < http.StatusOK || f.status == http.StatusNoContent

	switch {
	case f.lengths > 1 || f.encodings > 1 || f.lengths+f.encodings > 1:
		return &InvalidError{"several lengths"}
	case f.lengths > 0 && !isNumber([]byte(f.length)):
		return &InvalidError{"length " + strconv.Quote(f.length)}
	case f.encodings > 0 && (f.http10 || !strings.EqualFold(f.encoding, "chunked")):
		return &InvalidError{"transfer encoding " + strconv.Quote(f.encoding)}
	case noBody && (f.encodings > 0 || strings.Trim(f.length, "0") != ""):
		return &InvalidError{"status " + strconv.Itoa(f.status) + " with a body"}
	}

	return nil
}
