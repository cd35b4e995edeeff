// Package board maps the room's board to JSON, for the screens, the status
// command and the peers.
package board

import (
	"encoding/json"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/room/board"
)

// Board is a board on the wire.
type Board struct {
	Number      string     `json:"number"`
	At          time.Time  `json:"at"`
	Publisher   string     `json:"publisher"`
	ListVersion uint64     `json:"listVersion"`
	InForce     int        `json:"inForce"`
	Models      []Model    `json:"models"`
	Targets     []Target   `json:"targets"`
	Plans       []Plan     `json:"plans"`
	Instances   []Instance `json:"instances"`
	Promises    []Promise  `json:"promises"`
}

// Model is a line of the board.
type Model struct {
	Name    string   `json:"name"`
	Ready   []string `json:"ready"`
	Waiting int      `json:"waiting"`
	Why     string   `json:"why,omitempty"`
}

// Target is a line of the board.
type Target struct {
	ID         string  `json:"id"`
	DataCentre string  `json:"dataCentre"`
	Speed      float64 `json:"speed"`
	Memory     int64   `json:"memory"`
	Held       int64   `json:"held"`
	Slots      int     `json:"slots"`
	Running    int     `json:"running"`
	Waiting    int     `json:"waiting"`
	Models     int     `json:"models"`
	Leaving    bool    `json:"leaving"`
	Down       bool    `json:"down"`
}

// Plan is a line of the board.
type Plan struct {
	Name         string    `json:"name"`
	Customer     string    `json:"customer"`
	Running      int       `json:"running"`
	Concurrency  int       `json:"concurrency"`
	Waiting      int       `json:"waiting"`
	Answered     int64     `json:"answered"`
	Tokens       int64     `json:"tokens"`
	Accelerators int       `json:"accelerators"`
	IdleTargets  int       `json:"idleTargets"`
	Refused      []Refused `json:"refused"`
}

// Refused counts refusals by cause.
type Refused struct {
	Code  string `json:"code"`
	Count int64  `json:"count"`
}

// Instance is a line of the board.
type Instance struct {
	ID          string    `json:"id"`
	DataCentre  string    `json:"dataCentre"`
	Started     time.Time `json:"started"`
	Ready       bool      `json:"ready"`
	Draining    bool      `json:"draining"`
	ListVersion uint64    `json:"listVersion"`
	Cells       []int     `json:"cells"`
}

// Promise is a line of the board.
type Promise struct {
	Name   string `json:"name"`
	Kept   bool   `json:"kept"`
	Detail string `json:"detail,omitempty"`
}

// Encode maps a board to JSON.
func Encode(b board.Board) ([]byte, error) {
	out := Board{
		Number:      b.Number.String(),
		At:          b.At,
		Publisher:   string(b.Publisher),
		ListVersion: b.ListVersion,
		InForce:     b.InForce,
		Models:      make([]Model, len(b.Models)),
		Targets:     make([]Target, len(b.Targets)),
		Plans:       make([]Plan, len(b.Plans)),
		Instances:   make([]Instance, len(b.Instances)),
		Promises:    make([]Promise, len(b.Promises)),
	}

	for i, m := range b.Models {
		out.Models[i] = Model{Name: m.Name, Ready: names(m.Ready), Waiting: m.Waiting, Why: m.Why}
	}

	for i, t := range b.Targets {
		out.Targets[i] = fromTarget(t)
	}

	for i, p := range b.Plans {
		out.Plans[i] = fromPlan(p)
	}

	for i, in := range b.Instances {
		out.Instances[i] = Instance{
			ID:          string(in.ID),
			DataCentre:  string(in.DataCentre),
			Started:     in.Started,
			Ready:       in.Ready,
			Draining:    in.Draining,
			ListVersion: in.ListVersion,
			Cells:       append([]int{}, in.Cells...),
		}
	}

	for i, p := range b.Promises {
		out.Promises[i] = Promise(p)
	}

	return json.Marshal(out)
}

func names(ids []instance.ID) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = string(id)
	}

	return out
}

func fromTarget(t board.Target) Target {
	return Target{
		ID:         string(t.ID),
		DataCentre: string(t.DataCentre),
		Speed:      t.Speed,
		Memory:     t.Memory,
		Held:       t.ReservedMemory,
		Slots:      t.Slots,
		Running:    t.Running,
		Waiting:    t.Waiting,
		Models:     t.Models,
		Leaving:    t.Leaving,
		Down:       t.Down,
	}
}

func fromPlan(p board.Plan) Plan {
	out := Plan{
		Name:         p.Name,
		Customer:     p.Customer,
		Running:      p.Running,
		Concurrency:  p.Concurrency,
		Waiting:      p.Waiting,
		Answered:     p.Answered,
		Tokens:       p.Tokens,
		Accelerators: p.Accelerators,
		IdleTargets:  p.IdleTargets,
		Refused:      make([]Refused, len(p.Refused)),
	}

	for i, r := range p.Refused {
		out.Refused[i] = Refused{Code: string(r.Code), Count: r.Count}
	}

	return out
}

// Decode reads a board's JSON.
func Decode(data []byte) (Board, error) {
	var b Board

	err := json.Unmarshal(data, &b)

	return b, err
}
