package node

import (
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

const (
	// maxPartSize and minPartSize bound the parts in which a configuration's text is
	// transferred, and firstPartSize is the first one's. After a part that arrived the next
	// is twice as large, after one that did not arrive in time half as large.
	maxPartSize   = 32 << 10
	firstPartSize = 8 << 10
	minPartSize   = 2 << 10
	// maxTextSize bounds the compressed text that a peer may announce.
	maxTextSize = 16 << 20
)

// transfer is the part of a configuration's compressed text that has arrived, from one
// peer or from several. The zero value has nothing.
//
// What has arrived is kept when a query fails. Otherwise an entry whose link is crowded
// would begin anew each time and never get a large text.
type transfer struct {
	version, digest uint64
	total           int
	data            []byte
	// partSize is the size of the next part, zero at first.
	partSize int
}

// query returns the query for the next part.
func (t *transfer) query(have uint64) news.ConfigQuery {
	if t.version <= have {
		*t = transfer{partSize: t.partSize}
	}

	if t.partSize == 0 {
		t.partSize = firstPartSize
	}

	return news.ConfigQuery{Have: have, Version: t.version, Digest: t.digest, Offset: len(t.data), Size: t.partSize}
}

// add adds a part. It reports whether the part was the next one, and whether the text is
// complete now.
func (t *transfer) add(p news.ConfigPart) (added, complete bool) {
	if len(p.Data) == 0 || p.Total > maxTextSize {
		return false, false
	}

	if p.Version != t.version || p.Digest != t.digest {
		if p.Offset != 0 || p.Version < t.version {
			return false, false
		}

		*t = transfer{version: p.Version, digest: p.Digest, total: p.Total, partSize: t.partSize}
	}

	if p.Offset != len(t.data) || len(t.data)+len(p.Data) > t.total {
		return false, false
	}

	t.data = append(t.data, p.Data...)
	t.partSize = min(2*t.partSize, maxPartSize) //nolint:mnd // Doubled.

	return true, len(t.data) == t.total
}

// fail records that a part did not arrive in time.
func (t *transfer) fail() {
	t.partSize = max(t.partSize/2, minPartSize) //nolint:mnd // Halved.
}
