package node

import (
	"sync"

	"github.com/fulmarcross/fulmarcross/internal/wire/frame"
)

// packed is the text of the configuration in force as peers get it: compressed
// once for all of them. The zero value has none.
//
// It answers the load of a large configuration on many small machines: the text
// of thousands of routes takes long on a small machine's link, and whoever asks a
// peer that is still sending it to others gives up and asks again.
type packedConfig struct {
	mu      sync.Mutex
	version uint64
	data    []byte
}

// of returns the compressed text of a version.
func (p *packedConfig) of(version uint64, text []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.data != nil && p.version == version {
		return p.data, nil
	}

	data, err := frame.Pack(text)
	if err != nil {
		return nil, err
	}

	p.version, p.data = version, data

	return data, nil
}
