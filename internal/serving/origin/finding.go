package origin

// Source says how it became known which software began a stream.
type Source string

// The sources.
const (
	// SourceOwn is a stream of the entry's own, or one that it was told of.
	SourceOwn Source = "own"
	// SourceEntry is another entry that was asked.
	SourceEntry Source = "entry"
	// SourceNeighbour is the entry that passed the request on.
	SourceNeighbour Source = "neighbour"
	// SourceStore is the store, by the stream's row or by a history of one software.
	SourceStore Source = "store"
	// SourceAlone is the word of other entries, while the store is away, that only one
	// software has served.
	SourceAlone Source = "alone"
	// SourceNone means that nobody knows.
	SourceNone Source = "unknown"
)

// Finding is what was found out of the software that began a stream.
type Finding struct {
	Origin Origin
	Source Source
}
