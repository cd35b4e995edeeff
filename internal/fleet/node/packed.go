package node

import (
	"sync"

	"github.com/fulmarcross/fulmarcross/internal/wire/frame"
)

// packedConfig caches the compressed text of the configuration in force, so
// that it is compressed once for all peers. The zero value is empty.
//
// This limits the load of a large configuration on small machines: the text of
// thousands of routes takes long on their links, and a peer that waits while it
// is sent to others times out and asks again.
type packedConfig struct {
	mu      sync.Mutex
	version uint64
	data    []byte
}

// compressed returns the compressed text of a version.
func (p *packedConfig) compressed(version uint64, text []byte) ([]byte, error) {
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
