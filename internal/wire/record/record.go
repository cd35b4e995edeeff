// Package record maps what is kept in the table service to JSON. Operators
// can read the rows with the platform's own tools.
package record

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/key"
	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
)

// Keys of the table.
const (
	plansPrefix      = "list/plans/"
	allowancesPrefix = "list/allowances/"
	// VersionKey is the row of the lists' version.
	VersionKey    = "list/version"
	historyPrefix = "history/"
	// HistoryPrefix is above all edits.
	HistoryPrefix = historyPrefix
	// PlansPrefix is above all plans.
	PlansPrefix = plansPrefix
	// AllowancesPrefix is above all allowances.
	AllowancesPrefix = allowancesPrefix
	// ClaimsPrefix is above all claims.
	ClaimsPrefix = "claim/"
)

// LeaseKey returns the key of a cell's lease.
func LeaseKey(cell int) string { return fmt.Sprintf("lease/%d", cell) }

// LeaseKeyInEra returns the key of a cell's lease in an era of the store. A copy of the store
// from before the era has no such row.
func LeaseKeyInEra(cell int, era uint64) string { return fmt.Sprintf("%s@%d", LeaseKey(cell), era) }

// FenceKey returns the key of a cell's fence.
func FenceKey(cell int) string { return fmt.Sprintf("fence/%d", cell) }

// LedgerPrefix returns the prefix of a cell's ledger rows.
func LedgerPrefix(cell int) string { return fmt.Sprintf("placement/%d/", cell) }

// LedgerKey returns the key of a ledger row.
func LedgerKey(cell int, k ledger.Key) string {
	return LedgerPrefix(cell) + string(k.Target) + "/" + k.Model
}

// EditKey returns the key of the edit that made the version. Keys sort by
// version.
func EditKey(version uint64) string { return fmt.Sprintf("%s%020d", historyPrefix, version) }

// DecodeError says that a row cannot be read.
type DecodeError struct {
	Key string
	Err error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("record: row %s: %v", e.Key, e.Err) }

func (e *DecodeError) Unwrap() error { return e.Err }

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// The types of this package hold nothing that JSON cannot express.
		panic(err)
	}

	return data
}

func decode(key string, data []byte, v any) error {
	if err := json.Unmarshal(data, v); err != nil {
		return &DecodeError{Key: key, Err: err}
	}

	return nil
}

type leaseRow struct {
	Holder    string `json:"holder"`
	Process   string `json:"process"`
	Token     uint64 `json:"token"`
	Released  bool   `json:"released,omitempty"`
	Successor string `json:"successor,omitempty"`
	Waits     bool   `json:"waits,omitempty"`
	WriteID   string `json:"writeId"`
}

// EncodeLease maps a lease record to its row.
func EncodeLease(r lease.Record) []byte {
	return encode(leaseRow{
		Holder:    string(r.Holder),
		Process:   r.Process,
		Token:     r.Token,
		Released:  r.Released,
		Successor: string(r.Successor),
		Waits:     r.Waits,
		WriteID:   r.WriteID,
	})
}

// DecodeLease maps a row to the cell's lease record.
func DecodeLease(cell int, data []byte) (lease.Record, error) {
	var row leaseRow
	if err := decode(LeaseKey(cell), data, &row); err != nil {
		return lease.Record{}, err
	}

	return lease.Record{
		Cell:      cell,
		Holder:    instance.ID(row.Holder),
		Process:   row.Process,
		Token:     row.Token,
		Released:  row.Released,
		Successor: instance.ID(row.Successor),
		Waits:     row.Waits,
		WriteID:   row.WriteID,
	}, nil
}

// EncodeFence maps a fence to its row.
func EncodeFence(token uint64) []byte { return strconv.AppendUint(nil, token, 10) }

type ledgerRow struct {
	Target  string `json:"target"`
	Model   string `json:"model"`
	Base    string `json:"base,omitempty"`
	Bytes   int64  `json:"bytes"`
	Plan    string `json:"plan,omitempty"`
	Token   uint64 `json:"token"`
	Holder  string `json:"holder"`
	Process string `json:"process"`
	WriteID string `json:"writeId"`
}

// EncodeLedger maps a ledger row to the table.
func EncodeLedger(r *ledger.Row) []byte {
	return encode(ledgerRow{
		Target:  string(r.Target),
		Model:   r.Model,
		Base:    r.Base,
		Bytes:   r.Bytes,
		Plan:    r.Plan,
		Token:   r.Token,
		Holder:  string(r.Holder),
		Process: r.Process,
		WriteID: r.WriteID,
	})
}

// DecodeLedger maps a row of the table to the ledger.
func DecodeLedger(key string, data []byte, version revision.Number) (ledger.Row, error) {
	var row ledgerRow
	if err := decode(key, data, &row); err != nil {
		return ledger.Row{}, err
	}

	return ledger.Row{
		Key:     ledger.Key{Target: instance.ID(row.Target), Model: row.Model},
		Base:    row.Base,
		Bytes:   row.Bytes,
		Plan:    row.Plan,
		Token:   row.Token,
		Holder:  instance.ID(row.Holder),
		Process: row.Process,
		WriteID: row.WriteID,
		Version: version,
	}, nil
}

// Plan is a plan in the table and in the operators' documents.
type Plan struct {
	Name              string   `json:"name"`
	Customer          string   `json:"customer"`
	KeyHashes         []string `json:"keyHashes"`
	RequestsPerSecond int      `json:"requestsPerSecond,omitempty"`
	Concurrency       int      `json:"concurrency,omitempty"`
	TokensPerMinute   int      `json:"tokensPerMinute,omitempty"`
	Accelerators      int      `json:"accelerators,omitempty"`
	Priority          int      `json:"priority,omitempty"`
	RequestTimeoutMs  int64    `json:"requestTimeoutMs"`
	OnRemoval         string   `json:"onRemoval,omitempty"`
}

// FromPlan maps a plan to its document.
func FromPlan(p plan.Plan) Plan {
	out := Plan{
		Name:              p.Name,
		Customer:          p.Customer,
		KeyHashes:         make([]string, len(p.Keys)),
		RequestsPerSecond: p.RequestsPerSecond,
		Concurrency:       p.Concurrency,
		TokensPerMinute:   p.TokensPerMinute,
		Accelerators:      p.Accelerators,
		Priority:          p.Priority,
		RequestTimeoutMs:  p.RequestTimeout.Milliseconds(),
		OnRemoval:         string(p.OnRemoval),
	}

	for i, k := range p.Keys {
		out.KeyHashes[i] = hex.EncodeToString(k[:])
	}

	return out
}

// ToPlan maps a document to a plan.
func ToPlan(p Plan) (plan.Plan, error) {
	out := plan.Plan{
		Name:              p.Name,
		Customer:          p.Customer,
		Keys:              make([]key.Digest, len(p.KeyHashes)),
		RequestsPerSecond: p.RequestsPerSecond,
		Concurrency:       p.Concurrency,
		TokensPerMinute:   p.TokensPerMinute,
		Accelerators:      p.Accelerators,
		Priority:          p.Priority,
		RequestTimeout:    time.Duration(p.RequestTimeoutMs) * time.Millisecond,
		OnRemoval:         plan.Removal(p.OnRemoval),
	}

	for i, text := range p.KeyHashes {
		n, err := hex.Decode(out.Keys[i][:], []byte(text))
		if err != nil || n != len(out.Keys[i]) {
			return out, &DecodeError{Key: p.Name, Err: fmt.Errorf("keyHashes[%d]: not a SHA-256 in hex", i)}
		}
	}

	return out, nil
}

// Allowance is an allowance in the table.
type Allowance struct {
	Plan string `json:"plan"`
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// FromAllowance maps an allowance to the table.
func FromAllowance(a plan.Allowance) Allowance {
	return Allowance{Plan: a.Plan, Kind: string(a.Kind), Name: a.Name}
}

// ToAllowance maps a row to an allowance.
func ToAllowance(a Allowance) plan.Allowance {
	return plan.Allowance{Plan: a.Plan, Kind: plan.Kind(a.Kind), Name: a.Name}
}

// HistoryObject names the object of a cell's history of uses.
func HistoryObject(cell int) string { return fmt.Sprintf("uses/%d", cell) }
