package record

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
)

// Change is one changed line. Exactly one field is set.
type Change struct {
	SetPlan    *Plan      `json:"setPlan,omitempty"`
	RemovePlan string     `json:"removePlan,omitempty"`
	Allow      *Allowance `json:"allow,omitempty"`
	Disallow   *Allowance `json:"disallow,omitempty"`
}

// Edit is an accepted edit in the table's history and between peers.
type Edit struct {
	Version uint64    `json:"version"`
	WriteID string    `json:"writeId"`
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
	Changes []Change  `json:"changes"`
}

// FromEdit maps an edit to its row.
func FromEdit(e plan.Edit) Edit {
	out := Edit{Version: e.Version, WriteID: e.WriteID, Author: e.Author, At: e.At}

	for _, c := range e.Changes {
		switch c := c.(type) {
		case plan.SetPlan:
			p := FromPlan(c.Plan)
			out.Changes = append(out.Changes, Change{SetPlan: &p})
		case plan.RemovePlan:
			out.Changes = append(out.Changes, Change{RemovePlan: c.Name})
		case plan.Allow:
			a := FromAllowance(c.Allowance)
			out.Changes = append(out.Changes, Change{Allow: &a})
		case plan.Disallow:
			a := FromAllowance(c.Allowance)
			out.Changes = append(out.Changes, Change{Disallow: &a})
		}
	}

	return out
}

// ToEdit maps a row to an edit.
func ToEdit(e Edit) (plan.Edit, error) {
	out := plan.Edit{Version: e.Version, WriteID: e.WriteID, Author: e.Author, At: e.At}

	for _, c := range e.Changes {
		switch {
		case c.SetPlan != nil:
			p, err := ToPlan(*c.SetPlan)
			if err != nil {
				return out, err
			}

			out.Changes = append(out.Changes, plan.SetPlan{Plan: p})
		case c.RemovePlan != "":
			out.Changes = append(out.Changes, plan.RemovePlan{Name: c.RemovePlan})
		case c.Allow != nil:
			out.Changes = append(out.Changes, plan.Allow{Allowance: ToAllowance(*c.Allow)})
		case c.Disallow != nil:
			out.Changes = append(out.Changes, plan.Disallow{Allowance: ToAllowance(*c.Disallow)})
		}
	}

	return out, nil
}

// EncodeEdit maps an edit to its row.
func EncodeEdit(e plan.Edit) []byte { return encode(FromEdit(e)) }

// DecodeEdit maps a row to an edit.
func DecodeEdit(key string, data []byte) (plan.Edit, error) {
	var row Edit
	if err := decode(key, data, &row); err != nil {
		return plan.Edit{}, err
	}

	return ToEdit(row)
}

// Version is the content of the lists' version row.
type Version struct {
	Version uint64 `json:"version"`
	WriteID string `json:"writeId"`
}

// EncodeVersion maps the lists' version to its row.
func EncodeVersion(v Version) []byte { return encode(v) }

// DecodeVersion maps the row to the lists' version. An absent row is version
// zero.
func DecodeVersion(data []byte) (Version, error) {
	var v Version
	if len(data) == 0 {
		return v, nil
	}

	err := decode(VersionKey, data, &v)

	return v, err
}

// PlanKey returns the key of a plan's row.
func PlanKey(name string) string { return plansPrefix + name }

// AllowanceKey returns the key of an allowance's row.
func AllowanceKey(a plan.Allowance) string {
	return allowancesPrefix + a.Plan + "/" + string(a.Kind) + "/" + a.Name
}

// EncodePlan maps a plan to its row.
func EncodePlan(p plan.Plan) []byte { return encode(FromPlan(p)) }

// DecodePlan maps a row to a plan.
func DecodePlan(key string, data []byte) (plan.Plan, error) {
	var row Plan
	if err := decode(key, data, &row); err != nil {
		return plan.Plan{}, err
	}

	return ToPlan(row)
}

// EncodeAllowance maps an allowance to its row.
func EncodeAllowance(a plan.Allowance) []byte { return encode(FromAllowance(a)) }

// DecodeAllowance maps a row to an allowance.
func DecodeAllowance(key string, data []byte) (plan.Allowance, error) {
	var row Allowance
	if err := decode(key, data, &row); err != nil {
		return plan.Allowance{}, err
	}

	return ToAllowance(row), nil
}
