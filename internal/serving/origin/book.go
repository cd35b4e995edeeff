package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Book is what an entry knows of streams: of its own, and of those that other entries have
// told it of. The zero value is empty. It is not safe for concurrent use.
type Book struct {
	// own are the streams that targets of this entry's choice have begun, told those of other
	// entries. No stream that can still be resumed is missing from own, but for the oldest of
	// more than maxRecords.
	own  map[Key]*ownStream
	told map[Key]Record
	// expired is when records were last looked through for expired ones.
	expired time.Time
}

// ownStream is a stream of an entry's own.
type ownStream struct {
	Record

	service string
	// shared says that other entries have been told, and stored that the store has a row.
	shared, stored bool
}

const (
	// maxRecords bounds the streams of each kind. At 100 streams a second, those of ten
	// minutes fit.
	maxRecords = 1 << 16
	// expireInterval is the time between two looks for records that have expired.
	expireInterval = 5 * time.Second
)

// Begin records a stream of this entry's own.
func (b *Book) Begin(service string, r Record, now time.Time) {
	b.expire(now)

	if b.own == nil {
		b.own = make(map[Key]*ownStream)
	}

	if len(b.own) < maxRecords && b.own[r.Key] == nil {
		b.own[r.Key] = &ownStream{Record: r, service: service}
	}
}

// End forgets a stream of this entry's own whose client has received all of it. It reports
// whether the store has a row to remove.
func (b *Book) End(k Key) bool {
	s := b.own[k]
	delete(b.own, k)

	return s != nil && s.stored
}

// Tell records streams of other entries.
func (b *Book) Tell(records []Record, now time.Time) {
	b.expire(now)

	if b.told == nil {
		b.told = make(map[Key]Record)
	}

	for _, r := range records {
		if len(b.told) < maxRecords {
			b.told[r.Key] = r
		}
	}
}

// Find returns the software that began a stream. It returns false if the book does not say.
func (b *Book) Find(k Key) (instance.Software, bool) {
	if s := b.own[k]; s != nil {
		return s.Software, true
	}

	r, ok := b.told[k]

	return r.Software, ok
}

// TakeUnshared returns the streams of the service that other entries have not been told of,
// and counts them as told.
func (b *Book) TakeUnshared(service string) []Record {
	return b.take(service, func(s *ownStream) *bool { return &s.shared })
}

// TakeUnstored does the same for the store.
func (b *Book) TakeUnstored(service string) []Record {
	return b.take(service, func(s *ownStream) *bool { return &s.stored })
}

func (b *Book) take(service string, done func(*ownStream) *bool) []Record {
	var out []Record

	for _, s := range b.own {
		if d := done(s); s.service == service && !*d {
			*d = true

			out = append(out, s.Record)
		}
	}

	return out
}

// Unstore says that the store has no row of a stream that was to be stored.
func (b *Book) Unstore(k Key) {
	if s := b.own[k]; s != nil {
		s.stored = false
	}
}

// UnstoreAll says that the store may have lost the rows of all streams. Of those that are not to
// be stored any more it need have none.
func (b *Book) UnstoreAll() {
	for _, s := range b.own {
		s.stored = false
	}
}

// Expired forgets this entry's own streams that can no longer be resumed, and returns those
// of which the store has rows.
func (b *Book) Expired(now time.Time) []Key {
	var out []Key

	for _, k := range slices.Collect(maps.Keys(b.own)) {
		if s := b.own[k]; now.After(s.Until) {
			if s.stored {
				out = append(out, k)
			}

			delete(b.own, k)
		}
	}

	return out
}

// expire forgets the streams of other entries that can no longer be resumed.
func (b *Book) expire(now time.Time) {
	if now.Sub(b.expired) < expireInterval {
		return
	}

	b.expired = now

	maps.DeleteFunc(b.told, func(_ Key, r Record) bool { return now.After(r.Until) })
}
