// Package document maps the operators' two lists to the JSON documents that
// they edit, and checks those.
package document

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
	"github.com/fulmarcross/fulmarcross/internal/wire/schema"
)

//go:embed plans.schema.json
var plansSource []byte

//go:embed allowances.schema.json
var allowancesSource []byte

var (
	plansSchema      = schema.MustCompile("plans.schema.json", plansSource)
	allowancesSchema = schema.MustCompile("allowances.schema.json", allowancesSource)
)

// List names one of the two lists.
type List string

// The two lists.
const (
	Plans      List = "plans"
	Allowances List = "allowances"
)

type plansDocument struct {
	Version uint64        `json:"version"`
	Plans   []record.Plan `json:"plans"`
}

type allowancesDocument struct {
	Version    uint64           `json:"version"`
	Allowances []planAllowances `json:"allowances"`
}

type planAllowances struct {
	Plan     string   `json:"plan"`
	Models   []string `json:"models,omitempty"`
	Services []string `json:"services,omitempty"`
}

// Encode writes one list of the state as a document with its version.
func Encode(l List, s plan.State) ([]byte, error) {
	var v any

	switch l {
	case Plans:
		doc := plansDocument{Version: s.Version(), Plans: []record.Plan{}}
		for _, p := range s.Plans() {
			doc.Plans = append(doc.Plans, record.FromPlan(p))
		}

		v = doc
	case Allowances:
		v = allowancesDocument{Version: s.Version(), Allowances: group(s.Allowances(""))}
	default:
		return nil, &UnknownListError{List: l}
	}

	data, err := json.MarshalIndent(v, "", "  ")

	return append(data, '\n'), err
}

// group collects sorted allowances by plan.
func group(all []plan.Allowance) []planAllowances {
	out := []planAllowances{}

	for _, a := range all {
		if len(out) == 0 || out[len(out)-1].Plan != a.Plan {
			out = append(out, planAllowances{Plan: a.Plan})
		}

		last := &out[len(out)-1]

		switch a.Kind {
		case plan.Model:
			last.Models = append(last.Models, a.Name)
		case plan.Service:
			last.Services = append(last.Services, a.Name)
		}
	}

	return out
}

// UnknownListError says that there is no such list.
type UnknownListError struct{ List List }

func (e *UnknownListError) Error() string { return fmt.Sprintf("document: no list %q", e.List) }

// DecodePlans checks and reads a document of plans.
func DecodePlans(data []byte) (uint64, []plan.Plan, error) {
	if faults := plansSchema.Check(data); len(faults) > 0 {
		return 0, nil, &schema.FaultsError{Document: string(Plans), Faults: faults}
	}

	var doc plansDocument
	if err := json.Unmarshal(data, &doc); err != nil {
		return 0, nil, err
	}

	if faults := checkPlans(doc.Plans); len(faults) > 0 {
		return 0, nil, &schema.FaultsError{Document: string(Plans), Faults: faults}
	}

	plans := make([]plan.Plan, len(doc.Plans))

	for i, p := range doc.Plans {
		var err error
		if plans[i], err = record.ToPlan(p); err != nil {
			return 0, nil, err
		}
	}

	return doc.Version, plans, nil
}

// checkPlans finds what a schema cannot express: names and keys that stand
// twice.
func checkPlans(plans []record.Plan) []schema.Fault {
	var faults []schema.Fault

	names, keys := make(map[string]int), make(map[string]int)

	for i, p := range plans {
		if first, ok := names[p.Name]; ok {
			faults = append(faults, schema.Fault{
				Path:    schema.Path("plans", strconv.Itoa(i), "name"),
				Message: fmt.Sprintf("%q is also plans[%d].name", p.Name, first),
			})
		} else {
			names[p.Name] = i
		}

		for j, k := range p.KeyHashes {
			if first, ok := keys[k]; ok {
				faults = append(faults, schema.Fault{
					Path:    schema.Path("plans", strconv.Itoa(i), "keyHashes", strconv.Itoa(j)),
					Message: fmt.Sprintf("the same key is also in plans[%d].keyHashes", first),
				})
			} else {
				keys[k] = i
			}
		}
	}

	return faults
}

// DecodeAllowances checks and reads a document of allowances. Each plan named
// must be known.
func DecodeAllowances(data []byte, known func(plan string) bool) (uint64, []plan.Allowance, error) {
	if faults := allowancesSchema.Check(data); len(faults) > 0 {
		return 0, nil, &schema.FaultsError{Document: string(Allowances), Faults: faults}
	}

	var doc allowancesDocument
	if err := json.Unmarshal(data, &doc); err != nil {
		return 0, nil, err
	}

	if faults := checkAllowances(doc.Allowances, known); len(faults) > 0 {
		return 0, nil, &schema.FaultsError{Document: string(Allowances), Faults: faults}
	}

	var out []plan.Allowance

	for _, a := range doc.Allowances {
		for _, name := range a.Models {
			out = append(out, plan.Allowance{Plan: a.Plan, Kind: plan.Model, Name: name})
		}

		for _, name := range a.Services {
			out = append(out, plan.Allowance{Plan: a.Plan, Kind: plan.Service, Name: name})
		}
	}

	return doc.Version, out, nil
}

func checkAllowances(all []planAllowances, known func(string) bool) []schema.Fault {
	var faults []schema.Fault

	seen := make(map[string]int)

	for i, a := range all {
		path := schema.Path("allowances", strconv.Itoa(i), "plan")

		if first, ok := seen[a.Plan]; ok {
			faults = append(faults, schema.Fault{
				Path: path, Message: fmt.Sprintf("%q is also allowances[%d].plan", a.Plan, first),
			})
		}

		seen[a.Plan] = i

		if known != nil && !known(a.Plan) {
			faults = append(faults, schema.Fault{Path: path, Message: fmt.Sprintf("no plan is named %q", a.Plan)})
		}
	}

	return faults
}
