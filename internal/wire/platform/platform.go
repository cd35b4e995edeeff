// Package platform maps the platform's services to their HTTP protocol. The
// client half is here; the stand-in imports the same messages for the other.
package platform

import (
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/platform/weight"
)

// Paths of the protocol.
const (
	PathRead        = "/table/read"
	PathScan        = "/table/scan"
	PathCommit      = "/table/commit"
	PathObjects     = "/objects/"
	PathCheckpoints = "/weights/checkpoints"
	PathInstances   = "/instances"
	PathFaults      = "/faults"
)

// Row is a table.Row on the wire.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// ReadRequest asks for rows by key.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest asks for a range of rows.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsReply carries rows.
type RowsReply struct {
	Rows []Row `json:"rows"`
}

// Condition is a table.Condition on the wire.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write is a table.Write on the wire.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// CommitRequest is a table.Transaction on the wire.
type CommitRequest struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// CommitReply tells the new version, or the row that did not match.
type CommitReply struct {
	Version  uint64     `json:"version,omitempty"`
	Conflict *Condition `json:"conflict,omitempty"`
}

// NamesReply lists object names.
type NamesReply struct {
	Names []string `json:"names"`
}

// Checkpoint is a weight.Checkpoint on the wire.
type Checkpoint struct {
	Name  string `json:"name"`
	Base  string `json:"base,omitempty"`
	Bytes int64  `json:"bytes"`
}

// CheckpointsReply lists the weight store.
type CheckpointsReply struct {
	Checkpoints []Checkpoint `json:"checkpoints"`
}

// Instance is an instance.Instance on the wire.
type Instance struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Role       string `json:"role"`
	Address    string `json:"address"`
	Service    string `json:"service,omitempty"`
	State      string `json:"state"`
}

// InstancesReply is the platform's list.
type InstancesReply struct {
	Instances []Instance `json:"instances"`
}

// FromRows maps domain rows to wire rows.
func FromRows(rows []table.Row) []Row {
	out := make([]Row, len(rows))
	for i, r := range rows {
		out[i] = Row{Key: r.Key, Value: r.Value, Version: uint64(r.Version)}
	}

	return out
}

// ToRows maps wire rows to domain rows.
func ToRows(rows []Row) []table.Row {
	out := make([]table.Row, len(rows))
	for i, r := range rows {
		out[i] = table.Row{Key: r.Key, Value: r.Value, Version: revision.Number(r.Version)}
	}

	return out
}

// FromTransaction maps a transaction to the wire.
func FromTransaction(tx table.Transaction) CommitRequest {
	var req CommitRequest
	for _, c := range tx.Conditions {
		req.Conditions = append(req.Conditions, Condition{Key: c.Key, Version: uint64(c.Version)})
	}

	for _, w := range tx.Writes {
		req.Writes = append(req.Writes, Write{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}

	return req
}

// ToTransaction maps a transaction from the wire.
func ToTransaction(req CommitRequest) table.Transaction {
	var tx table.Transaction
	for _, c := range req.Conditions {
		tx.Conditions = append(tx.Conditions, table.Condition{Key: c.Key, Version: revision.Number(c.Version)})
	}

	for _, w := range req.Writes {
		tx.Writes = append(tx.Writes, table.Write{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}

	return tx
}

// FromCheckpoints maps checkpoints to the wire.
func FromCheckpoints(all []weight.Checkpoint) []Checkpoint {
	out := make([]Checkpoint, len(all))
	for i, c := range all {
		out[i] = Checkpoint{Name: c.Name, Base: c.Base, Bytes: c.Bytes}
	}

	return out
}

// FromInstances maps instances to the wire.
func FromInstances(all []instance.Instance) []Instance {
	out := make([]Instance, len(all))
	for i, in := range all {
		out[i] = Instance{
			ID:         string(in.ID),
			DataCentre: string(in.DataCentre),
			Role:       string(in.Role),
			Address:    in.Address.String(),
			Service:    in.Service,
			State:      string(in.State),
		}
	}

	return out
}
