package table

import (
	"bytes"
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
)

// Pause between two tries to settle a write, doubled up to the limit.
const (
	settlePause    = 20 * time.Millisecond
	settlePauseMax = 500 * time.Millisecond
)

// Settle commits tx and finds out whether it took effect even when answers
// are lost. The first write of tx is the witness: its value must be unique to
// this call and its key must be among the conditions.
//
// The failure it guards against is an answer lost after the write took
// effect: a plain retry would then report a conflict with itself, and giving
// up would leave a row nobody counts. Committing again under the same
// conditions cannot apply twice, because the first success changes the
// witness's version, so each round either succeeds, finds its own witness, or
// finds another's.
//
// When ctx ends first it returns an *UnavailableError: the transaction may
// still take effect.
func Settle(ctx context.Context, s Service, tx Transaction) (uint64, error) {
	pause := settlePause

	for {
		version, err := s.Commit(ctx, tx)
		if err == nil {
			return version, nil
		}

		witness, readErr := readWitness(ctx, s, tx.Writes[0])
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

// SettleDelete deletes the row at key if it still has the version, under the
// other conditions, and finds out whether it is gone even when answers are
// lost. A row that is absent counts as deleted, whoever did it.
func SettleDelete(ctx context.Context, s Service, key string, version uint64, conditions ...Condition) error {
	tx := Transaction{
		Conditions: append([]Condition{{Key: key, Version: version}}, conditions...),
		Writes:     []Write{{Key: key, Delete: true}},
	}

	for pause := settlePause; ; pause = min(2*pause, settlePauseMax) {
		_, err := s.Commit(ctx, tx)
		if err == nil {
			return nil
		}

		rows, readErr := s.Read(ctx, key)
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

type witnessState struct {
	ours    bool
	version uint64
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
