package node

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/wire/frame"
)

// packedText is the compressed text of a configuration.
type packedText struct {
	version uint64
	// digest distinguishes texts of the same version that were compressed otherwise.
	digest uint64
	data   []byte
}

// packedConfigs caches the compressed texts of the newest configurations, so that each is
// compressed once for all peers. The zero value is empty.
//
// This limits the load of a large configuration on small machines: the text of
// thousands of routes takes long on their links, and a peer that waits while it
// is sent to others times out and asks again. The text before the newest is kept for
// peers that have a part of it: in a series of changes they would otherwise begin anew
// with each.
type packedConfigs struct {
	mu sync.Mutex
	// texts are the newest ones, the newest last.
	texts []packedText
}

// maxPackedTexts is the number of texts that are kept.
const maxPackedTexts = 2

// newest returns the compressed text of the configuration in force.
func (p *packedConfigs) newest(c *route.Config) (packedText, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if i := slices.IndexFunc(p.texts, func(t packedText) bool { return t.version == c.Version }); i >= 0 {
		return p.texts[i], nil
	}

	data, err := frame.Pack(c.Text)
	if err != nil {
		return packedText{}, err
	}

	t := packedText{version: c.Version, digest: xxhash.Sum64(data), data: data}
	p.texts = append(p.texts, t)
	p.texts = slices.Delete(p.texts, 0, max(0, len(p.texts)-maxPackedTexts))

	return t, nil
}

// find returns the text with this version and digest, if it is kept.
func (p *packedConfigs) find(version, digest uint64) (packedText, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	i := slices.IndexFunc(p.texts, func(t packedText) bool { return t.version == version && t.digest == digest })
	if i < 0 {
		return packedText{}, false
	}

	return p.texts[i], true
}
