package node

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// maxConfigText bounds the text that a peer's configuration may unpack to.
const maxConfigText = 32 << 20

// packed is the text of the configuration in force as peers get it: compressed
// once for all of them. The zero value has none.
//
// It answers the load of a large configuration on many small machines: the text
// of thousands of routes takes long on a small machine's link, and whoever asks a peer that is still sending it to others gives up and asks
// again.
type packed struct {
	mu      sync.Mutex
	version uint64
	data    []byte
}

// of returns the compressed text of a version.
func (p *packed) of(version uint64, text []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.data != nil && p.version == version {
		return p.data, nil
	}

	data, err := pack(text)
	if err != nil {
		return nil, err
	}

	p.version, p.data = version, data

	return data, nil
}

func pack(text []byte) ([]byte, error) {
	var out bytes.Buffer

	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}

	if _, err := w.Write(text); err != nil {
		return nil, err
	}

	if err := w.Close(); err != nil {
		return nil, err
	}

	return out.Bytes(), nil
}

// TooLongError says that a peer's configuration unpacks to more than it may.
type TooLongError struct{ Most int64 }

func (e *TooLongError) Error() string {
	return fmt.Sprintf("configuration longer than %d bytes", e.Most)
}

func unpack(data []byte) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxConfigText+1))

	switch {
	case err != nil:
		return nil, err
	case len(text) > maxConfigText:
		return nil, &TooLongError{Most: maxConfigText}
	}

	return text, nil
}
