// Package engine maps the engines' HTTP protocol to the types of package
// target. Streams are lines of JSON, one frame a line.
package engine

import (
	"fmt"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
)

// Paths of the protocol.
const (
	PathGenerate  = "/v1/generate"
	PathCancel    = "/v1/cancel"
	PathOrders    = "/v1/orders"
	PathInventory = "/v1/inventory"
	PathReport    = "/v1/report"
	PathEvents    = "/v1/events"
	PathKV        = "/v1/kv/"
	PathFaults    = "/faults"
)

// Codes of refusals.
const (
	CodeNotLoaded  = "notLoaded"
	CodeStaleToken = "staleToken"
	CodeNoMemory   = "noMemory"
	CodeLeaving    = "leaving"
)

// Generation is a target.Generation on the wire.
type Generation struct {
	RequestID string `json:"requestId"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
	Offset    int    `json:"offset,omitempty"`
	Priority  int    `json:"priority,omitempty"`
}

// Frame is a target.Frame on the wire.
type Frame struct {
	RequestID string `json:"requestId"`
	Index     int    `json:"index"`
	Text      string `json:"text,omitempty"`
	End       bool   `json:"end,omitempty"`
}

// Cancel names the generation to stop.
type Cancel struct {
	RequestID string `json:"requestId"`
}

// Order is a target.Order on the wire.
type Order struct {
	ID     string `json:"id"`
	Token  uint64 `json:"token"`
	Action string `json:"action"`
	Model  string `json:"model,omitempty"`
	Base   string `json:"base,omitempty"`
	Bytes  int64  `json:"bytes,omitempty"`
	Role   string `json:"role,omitempty"`
}

// Held is a target.ResidentModel on the wire.
type Held struct {
	Model string `json:"model"`
	Base  string `json:"base,omitempty"`
	Bytes int64  `json:"bytes"`
	Phase string `json:"phase"`
}

// Inventory is a target.Inventory on the wire.
type Inventory struct {
	Incarnation string         `json:"incarnation"`
	Software    string         `json:"software,omitempty"`
	Token       uint64         `json:"token"`
	Memory      int64          `json:"memory"`
	Speed       float64        `json:"speed"`
	Role        string         `json:"role"`
	Leaving     bool           `json:"leaving"`
	Held        []Held         `json:"held"`
	Cached      map[string]int `json:"cached"`
}

// Report is a target.Report on the wire.
type Report struct {
	At      time.Time `json:"at"`
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	Slots   int       `json:"slots"`
	Leaving bool      `json:"leaving"`
}

// CacheEvent is a target.CacheEvent on the wire.
type CacheEvent struct {
	Number uint64 `json:"number"`
	Prefix string `json:"prefix"`
	Cached bool   `json:"cached"`
}

// Refusal is the body of an answer that is not a success.
type Refusal struct {
	Code    string `json:"code"`
	Highest uint64 `json:"highest,omitempty"`
}

// The actions on the wire.
const (
	actionLoad   = "load"
	actionUnload = "unload"
	actionRole   = "changeRole"
	actionRaise  = "raiseToken"
)

// UnknownActionError says that an order asks for something unknown.
type UnknownActionError struct{ Action string }

func (e *UnknownActionError) Error() string {
	return fmt.Sprintf("engine: unknown action %q", e.Action)
}

// FromOrder maps an order to the wire.
func FromOrder(o target.Order) Order {
	out := Order{ID: o.ID, Token: o.Token}

	switch a := o.Action.(type) {
	case target.Load:
		out.Action, out.Model, out.Base, out.Bytes = actionLoad, a.Model, a.Base, a.Bytes
	case target.Unload:
		out.Action, out.Model = actionUnload, a.Model
	case target.ChangeRole:
		out.Action, out.Role = actionRole, a.Role
	case target.RaiseToken:
		out.Action = actionRaise
	}

	return out
}

// ToOrder maps an order from the wire.
func ToOrder(o Order) (target.Order, error) {
	out := target.Order{ID: o.ID, Token: o.Token}

	switch o.Action {
	case actionLoad:
		out.Action = target.Load{Model: o.Model, Base: o.Base, Bytes: o.Bytes}
	case actionUnload:
		out.Action = target.Unload{Model: o.Model}
	case actionRole:
		out.Action = target.ChangeRole{Role: o.Role}
	case actionRaise:
		out.Action = target.RaiseToken{}
	default:
		return out, &UnknownActionError{Action: o.Action}
	}

	return out, nil
}

// FromInventory maps an inventory to the wire.
func FromInventory(inv target.Inventory) Inventory {
	out := Inventory{
		Incarnation: inv.Incarnation,
		Software:    string(inv.Software),
		Token:       inv.Token,
		Memory:      inv.Memory,
		Speed:       inv.Speed,
		Role:        inv.Role,
		Leaving:     inv.Leaving,
		Cached:      make(map[string]int, len(inv.Cached)),
	}

	for _, h := range inv.Resident {
		out.Held = append(out.Held, Held{Model: h.Model, Base: h.Base, Bytes: h.Bytes, Phase: string(h.Phase)})
	}

	for name, tier := range inv.Cached {
		out.Cached[name] = int(tier)
	}

	return out
}

// ToInventory maps an inventory from the wire.
func ToInventory(inv Inventory) target.Inventory {
	out := target.Inventory{
		Incarnation: inv.Incarnation,
		Software:    instance.Software(inv.Software),
		Token:       inv.Token,
		Memory:      inv.Memory,
		Speed:       inv.Speed,
		Role:        inv.Role,
		Leaving:     inv.Leaving,
		Cached:      make(map[string]target.Tier, len(inv.Cached)),
	}

	for _, h := range inv.Held {
		held := target.ResidentModel{Model: h.Model, Base: h.Base, Bytes: h.Bytes, Phase: target.Phase(h.Phase)}
		out.Resident = append(out.Resident, held)
	}

	for name, tier := range inv.Cached {
		out.Cached[name] = target.Tier(tier)
	}

	return out
}
