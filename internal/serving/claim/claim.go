// Package claim ensures that requests which must not be repeated run at most
// once over all entries: before such a request is sent, its key is claimed in
// the store, where only one claim succeeds.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/platform/object"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

// State is the state of a claimed request.
type State string

// States of a claim.
const (
	// Claimed means that the request may be running.
	Claimed State = "claimed"
	// Done means that the request ran and its answer is stored.
	Done State = "done"
	// InDoubt means that the request was sent and no answer was received.
	InDoubt State = "inDoubt"
)

// Answer is the stored answer of a request that ran.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Claim is a claim that this entry has made.
type Claim struct {
	Key     string
	version revision.Number
	row     record.Claim
}

// Outcome is the result of claiming a key.
type Outcome interface{ outcome() }

// Acquired means that the key was claimed, so that only this request may be sent.
type Acquired struct{ Claim *Claim }

// Answered means that the request ran before.
type Answered struct{ Answer Answer }

// Pending means that another request has claimed the key and may still be
// running. Entry and Process are those that made the claim.
type Pending struct {
	Entry   instance.ID
	Process string
}

// OutcomeInDoubt means that the request was sent and no answer was received. It may
// have run.
type OutcomeInDoubt struct{}

// KeyReused means that the key was used for a request with other content.
type KeyReused struct{}

func (Acquired) outcome()       {}
func (Answered) outcome()       {}
func (Pending) outcome()        {}
func (OutcomeInDoubt) outcome() {}
func (KeyReused) outcome()      {}

// Registry claims keys and stores answers.
type Registry struct {
	Table   table.Service
	Objects object.Store
	Entry   instance.ID
	Process string

	batch batcher
}

// Key returns the row key for a customer's idempotency key.
func Key(customer, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(idempotencyKey))

	return record.ClaimsPrefix + customer + "/" + hex.EncodeToString(sum[:])
}

// Digest identifies a request's content, so that one key cannot be used for two
// different requests.
func Digest(method, path string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s %s\n", method, path)
	h.Write(body)

	return hex.EncodeToString(h.Sum(nil))
}

// Acquire claims the key. After an error the request must not be sent. Either its
// own claim is unconfirmed, or the key was already claimed. In the second case the
// other claim's outcome could not be read, or that claim was withdrawn meanwhile
// (WithdrawnError).
func (r *Registry) Acquire(ctx context.Context, key, digest string) (Outcome, error) {
	row := record.Claim{
		Digest:  digest,
		Entry:   string(r.Entry),
		Process: r.Process,
		WriteID: uuid.NewString(),
		State:   string(Claimed),
		At:      time.Now(),
	}

	version, err := r.batch.put(ctx, r.Table, key, record.EncodeClaim(row))

	switch {
	case err == nil:
		return Acquired{&Claim{Key: key, version: version, row: row}}, nil
	case table.IsConflict(err):
		return r.Lookup(ctx, key, digest)
	}

	// The claim may still take effect. Nothing was sent under it, so it is
	// withdrawn in the background. Until then, a repeated request finds it
	// pending.
	go r.withdrawUnconfirmed(key, row.WriteID)

	return nil, err
}

// Lookup returns the outcome of a key that is already claimed.
func (r *Registry) Lookup(ctx context.Context, key, digest string) (Outcome, error) {
	rows, err := r.Table.Read(ctx, key)
	if err != nil {
		return nil, err
	}

	if rows[0].Version == 0 {
		// The claim was withdrawn meanwhile. The client may retry.
		return nil, &WithdrawnError{Key: key}
	}

	row, err := record.DecodeClaim(key, rows[0].Value)
	if err != nil {
		return nil, err
	}

	if row.Digest != digest {
		return KeyReused{}, nil
	}

	switch State(row.State) {
	case Done:
		return r.answered(ctx, row)
	case InDoubt:
		return OutcomeInDoubt{}, nil
	case Claimed:
	}

	return Pending{Entry: instance.ID(row.Entry), Process: row.Process}, nil
}

// WithdrawnError says that a claim was withdrawn.
type WithdrawnError struct{ Key string }

func (e *WithdrawnError) Error() string { return "claim: " + e.Key + " was withdrawn" }

func (r *Registry) answered(ctx context.Context, row record.Claim) (Outcome, error) {
	a := Answer{Status: row.Status, ContentType: row.ContentType, Body: row.Body}

	if row.Object != "" {
		body, err := r.Objects.Get(ctx, row.Object)
		if err != nil {
			return nil, err
		}

		a.Body = body
	}

	return Answered{a}, nil
}

// maxInlineBody is the largest answer that is stored in the row itself.
const maxInlineBody = 32 << 10

// Finish stores the answer. While the store is unavailable it retries the write
// of the row until ctx ends; an error of the object store, which holds large
// answers, is returned at once.
func (r *Registry) Finish(ctx context.Context, c *Claim, a Answer) error {
	row := c.row
	row.State = string(Done)
	row.Status, row.ContentType, row.Body = a.Status, a.ContentType, a.Body

	if len(a.Body) > maxInlineBody {
		row.Object, row.Body = "answers/"+c.row.WriteID, nil
		if err := r.Objects.Put(ctx, row.Object, a.Body); err != nil {
			return err
		}
	}

	return r.replace(ctx, c, row)
}

// MarkInDoubt records that the request was sent and no answer was received, so
// that a repeated request finds this at once.
func (r *Registry) MarkInDoubt(ctx context.Context, c *Claim) error {
	row := c.row
	row.State = string(InDoubt)

	return r.replace(ctx, c, row)
}

func (r *Registry) replace(ctx context.Context, c *Claim, row record.Claim) error {
	row.WriteID = uuid.NewString()

	version, err := table.Settle(ctx, r.Table, table.Transaction{
		Conditions: []table.Condition{{Key: c.Key, Version: c.version}},
		Writes:     []table.Write{{Key: c.Key, Value: record.EncodeClaim(row)}},
	})
	if err != nil {
		return err
	}

	c.version, c.row = version, row

	return nil
}

// Withdraw deletes a claim under which nothing was sent, so that the request
// may be sent again.
func (r *Registry) Withdraw(ctx context.Context, c *Claim) error {
	return table.SettleDelete(ctx, r.Table, c.Key, c.version)
}

// Timing of the withdrawal of an unconfirmed claim. withdrawUnconfirmed stops
// after the row was absent for absenceToStop.
const (
	withdrawTimeout  = 2 * time.Minute
	withdrawInterval = time.Second
	absenceToStop    = 15 * time.Second
)

// withdrawUnconfirmed deletes a claim whose write may take effect late. It
// returns after it has deleted the claim, when it finds a row of another write or
// one that cannot be decoded, after the row was absent for absenceToStop while the
// store answered, or after withdrawTimeout.
func (r *Registry) withdrawUnconfirmed(key, writeID string) {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()

	var absentSince time.Time

	for ctx.Err() == nil {
		rows, err := r.Table.Read(ctx, key)

		switch {
		case err != nil:
			absentSince = time.Time{}
		case rows[0].Version == 0:
			if absentSince.IsZero() {
				absentSince = time.Now()
			}

			if time.Since(absentSince) > absenceToStop {
				return
			}
		default:
			row, err := record.DecodeClaim(key, rows[0].Value)
			if err != nil || row.WriteID != writeID {
				return
			}

			if table.SettleDelete(ctx, r.Table, key, rows[0].Version) == nil {
				return
			}
		}

		time.Sleep(withdrawInterval)
	}
}

// Retention is how long a claim is kept after it was made.
const Retention = 24 * time.Hour

// Sweep deletes claims older than Retention, and before them the objects that
// hold their answers. It scans at most limit claims whose keys are greater than
// after, and returns the value of after for the next call, or "" at the end.
func (r *Registry) Sweep(ctx context.Context, after string, limit int, now time.Time) (string, error) {
	rows, err := r.Table.Scan(ctx, record.ClaimsPrefix, after, limit)
	if err != nil {
		return after, err
	}

	var tx table.Transaction

	for _, stored := range rows {
		row, err := record.DecodeClaim(stored.Key, stored.Value)
		if err != nil || now.Sub(row.At) < Retention {
			continue
		}

		if row.Object != "" {
			_ = r.Objects.Delete(ctx, row.Object)
		}

		tx.Conditions = append(tx.Conditions, table.Condition{Key: stored.Key, Version: stored.Version})
		tx.Writes = append(tx.Writes, table.Write{Key: stored.Key, Delete: true})
	}

	if len(tx.Writes) > 0 {
		if _, err := r.Table.Commit(ctx, tx); err != nil {
			return after, err
		}
	}

	if len(rows) < limit {
		return "", nil
	}

	return rows[len(rows)-1].Key, nil
}

// IsWithdrawn reports whether err says that a claim was withdrawn.
func IsWithdrawn(err error) bool {
	var withdrawn *WithdrawnError

	return errors.As(err, &withdrawn)
}
