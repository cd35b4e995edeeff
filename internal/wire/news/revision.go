package news

import "github.com/fulmarcross/fulmarcross/internal/platform/revision"

// RevisionMessage is a state of the store on the wire. Programs that know no eras sent a number
// in its place and refuse it: they read the store themselves.
type RevisionMessage struct {
	_ struct{} `cbor:",toarray"`

	Era, Version uint64
}

func fromRevision(n revision.Number) RevisionMessage {
	return RevisionMessage{Era: n.Era(), Version: n.Version()}
}

// toRevision returns the state, or none if it is out of range: it then counts as older than any.
func toRevision(m RevisionMessage) revision.Number {
	n, err := revision.Of(m.Era, m.Version)
	if err != nil {
		return 0
	}

	return n
}
