package table

import (
	"bytes"
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
)

// The pause between two attempts starts at settlePause and doubles up to
// settlePauseMax.
const (
	settlePause    = 20 * time.Millisecond
	settlePauseMax = 500 * time.Millisecond
)

// Settle commits tx and, if an answer is lost, determines whether tx took
// effect. It returns the version of the written rows, or the *ConflictError of
// the commit. The first write of tx is the witness: its value must be unique
// to this call and its key must be among the conditions.
//
// Settle guards against an answer that is lost after the commit took effect.
// A plain retry would then conflict with its own write, and giving up would
// leave a row that no instance accounts for. After each failed commit, Settle
// reads the witness row: if it holds the witness's value, tx took effect.
// Otherwise a conflict is returned, and any other error, or a failed read,
// leads to another attempt. A second attempt does not apply tx again, because
// the first success changes the version of the witness row, unless the condition
// on that row requires that it be absent: if another client deletes the row
// between the attempts, that condition holds again and tx can be applied twice.
// If another client overwrites the witness row before Settle reads it, Settle
// may return a conflict although tx took effect.
//
// If ctx ends first, Settle returns an *UnavailableError, and tx remains in
// doubt: it may have taken effect or may still do so. So it does with an
// *EraChangedError: what a copy of the store shows says nothing about tx.
func Settle(ctx context.Context, s Service, tx Transaction) (revision.Number, error) {
	pause, era := settlePause, Era(s)

	for {
		version, err := s.Commit(ctx, tx)
		if err == nil || IsEraChanged(err) {
			return version, err
		}

		witness, readErr := readWitness(ctx, s, tx.Writes[0])
		if err := CheckEra(s, era); err != nil {
			return 0, err
		}

		if readErr == nil && witness.ours {
			return witness.version, nil
		}

		if IsConflict(err) && readErr == nil {
			return 0, err
		}

		if clock.Sleep(ctx, pause) != nil {
			return 0, &UnavailableError{Op: "settle", Err: context.Cause(ctx)}
		}

		pause = min(2*pause, settlePauseMax)
	}
}

// SettleDelete deletes the row at key if it has the given version and the other
// conditions hold. If an answer is lost, it reads the row to determine whether
// it was deleted. An absent row counts as deleted, even if another client
// deleted it or a condition does not hold. If the row is present after a
// conflict, SettleDelete returns the *ConflictError. If ctx ends first, it
// returns an *UnavailableError, and the delete remains in doubt.
func SettleDelete(ctx context.Context, s Service, key string, version revision.Number, conditions ...Condition) error {
	tx := Transaction{
		Conditions: append([]Condition{{Key: key, Version: version}}, conditions...),
		Writes:     []Write{{Key: key, Delete: true}},
	}

	era := Era(s)

	for pause := settlePause; ; pause = min(2*pause, settlePauseMax) {
		_, err := s.Commit(ctx, tx)
		if err == nil || IsEraChanged(err) {
			return err
		}

		rows, readErr := s.Read(ctx, key)
		if err := CheckEra(s, era); err != nil {
			return err
		}

		if readErr == nil && rows[0].Version == 0 {
			return nil
		}

		if IsConflict(err) && readErr == nil {
			return err
		}

		if clock.Sleep(ctx, pause) != nil {
			return &UnavailableError{Op: "settle delete", Err: context.Cause(ctx)}
		}
	}
}

// witnessState is the result of reading the witness row: whether it holds the
// value that this call writes, and its version.
type witnessState struct {
	ours    bool
	version revision.Number
}

func readWitness(ctx context.Context, s Service, w Write) (witnessState, error) {
	rows, err := s.Read(ctx, w.Key)
	if err != nil {
		return witnessState{}, err
	}

	row := rows[0]
	ours := row.Version != 0 && bytes.Equal(row.Value, w.Value)

	return witnessState{ours: ours, version: row.Version}, nil
}
