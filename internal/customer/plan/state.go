package plan

import (
	"strings"

	"github.com/benbjohnson/immutable"

	"github.com/fulmarcross/fulmarcross/internal/customer/key"
)

// State is the two lists at one version. It is immutable: Apply returns a new
// state that shares what did not change, so readers never wait for a change and
// the cost of a change depends on its own size only. The zero value is empty.
type State struct { //nolint:recvcheck // Only unshared copies are changed.
	version uint64
	plans   *immutable.SortedMap[string, Plan]
	keys    *immutable.Map[key.Digest, string]
	allowed *immutable.SortedMap[string, struct{}]
}

type keyHasher struct{}

// Hash implements immutable.Hasher. Key digests are already evenly distributed.
func (keyHasher) Hash(k key.Digest) uint32 {
	return uint32(k[0])<<24 | uint32(k[1])<<16 | uint32(k[2])<<8 | uint32(k[3])
}

// Equal implements immutable.Hasher.
func (keyHasher) Equal(a, b key.Digest) bool { return a == b }

// Version returns the lists' version, which starts at zero.
func (s State) Version() uint64 { return s.version }

// Authenticate returns the plan that has the client's key.
func (s State) Authenticate(k key.Digest) (Plan, bool) {
	if s.keys == nil {
		return Plan{}, false
	}

	name, ok := s.keys.Get(k)
	if !ok {
		return Plan{}, false
	}

	return s.Plan(name)
}

// Plan returns the plan with this name.
func (s State) Plan(name string) (Plan, bool) {
	if s.plans == nil {
		return Plan{}, false
	}

	return s.plans.Get(name)
}

// Plans returns all plans, sorted by name.
func (s State) Plans() []Plan {
	if s.plans == nil {
		return nil
	}

	out := make([]Plan, 0, s.plans.Len())
	for it := s.plans.Iterator(); !it.Done(); {
		_, p, _ := it.Next()
		out = append(out, p)
	}

	return out
}

// Allows reports whether the plan may use the named model, adapter or service.
func (s State) Allows(plan string, kind Kind, name string) bool {
	if s.allowed == nil {
		return false
	}

	_, ok := s.allowed.Get(allowanceKey(Allowance{Plan: plan, Kind: kind, Name: name}))

	return ok
}

// Allowances returns what the plan may use, sorted by kind and name. An empty plan
// selects all plans.
func (s State) Allowances(plan string) []Allowance {
	if s.allowed == nil {
		return nil
	}

	prefix := ""
	if plan != "" {
		prefix = plan + separator
	}

	var out []Allowance

	it := s.allowed.Iterator()
	it.Seek(prefix)

	for !it.Done() {
		key, _, _ := it.Next()
		if !strings.HasPrefix(key, prefix) {
			break
		}

		out = append(out, parseAllowance(key))
	}

	return out
}

// separator cannot occur in a validated name.
const separator = "\x00"

func allowanceKey(a Allowance) string {
	return a.Plan + separator + string(a.Kind) + separator + a.Name
}

func parseAllowance(key string) Allowance {
	parts := strings.SplitN(key, separator, 3) //nolint:mnd // Plan, kind and name.

	return Allowance{Plan: parts[0], Kind: Kind(parts[1]), Name: parts[2]}
}

// Restore builds the state at version from whole lists.
func Restore(version uint64, plans []Plan, allowances []Allowance) State {
	s := State{version: version}.initialized()

	for _, p := range plans {
		s.setPlan(p)
	}

	for _, a := range allowances {
		s.allowed = s.allowed.Set(allowanceKey(a), struct{}{})
	}

	return s
}

// Apply returns the state after e. Changes are idempotent, so applying an edit to
// a state that already includes it is harmless.
func (s State) Apply(e Edit) State {
	next := s.initialized()
	next.version = max(s.version, e.Version)

	for _, c := range e.Changes {
		switch c := c.(type) {
		case SetPlan:
			next.removePlan(c.Plan.Name)
			next.setPlan(c.Plan)
		case RemovePlan:
			next.removePlan(c.Name)
		case Allow:
			next.allowed = next.allowed.Set(allowanceKey(c.Allowance), struct{}{})
		case Disallow:
			next.allowed = next.allowed.Delete(allowanceKey(c.Allowance))
		}
	}

	return next
}

// initialized returns s with empty maps in place of nil ones.
func (s State) initialized() State {
	if s.plans == nil {
		s.plans = immutable.NewSortedMap[string, Plan](nil)
		s.keys = immutable.NewMap[key.Digest, string](keyHasher{})
		s.allowed = immutable.NewSortedMap[string, struct{}](nil)
	}

	return s
}

func (s *State) setPlan(p Plan) {
	s.plans = s.plans.Set(p.Name, p)
	for _, k := range p.Keys {
		s.keys = s.keys.Set(k, p.Name)
	}
}

func (s *State) removePlan(name string) {
	old, ok := s.plans.Get(name)
	if !ok {
		return
	}

	s.plans = s.plans.Delete(name)

	for _, k := range old.Keys {
		if planOfKey, _ := s.keys.Get(k); planOfKey == name {
			s.keys = s.keys.Delete(k)
		}
	}
}

// Diff returns the changes that lead from s to the lists in want.
func Diff(s State, want State) []Change {
	var changes []Change

	for _, p := range s.Plans() {
		if _, ok := want.Plan(p.Name); !ok {
			changes = append(changes, RemovePlan{Name: p.Name})
		}
	}

	for _, p := range want.Plans() {
		if old, ok := s.Plan(p.Name); !ok || !equalPlans(old, p) {
			changes = append(changes, SetPlan{Plan: p})
		}
	}

	for _, a := range s.Allowances("") {
		if !want.Allows(a.Plan, a.Kind, a.Name) {
			changes = append(changes, Disallow{Allowance: a})
		}
	}

	for _, a := range want.Allowances("") {
		if !s.Allows(a.Plan, a.Kind, a.Name) {
			changes = append(changes, Allow{Allowance: a})
		}
	}

	return changes
}

func equalPlans(a, b Plan) bool {
	if len(a.Keys) != len(b.Keys) {
		return false
	}

	for i := range a.Keys {
		if a.Keys[i] != b.Keys[i] {
			return false
		}
	}

	a.Keys, b.Keys = nil, nil

	return equalFields(a, b)
}

func equalFields(a, b Plan) bool {
	return a.Name == b.Name &&
		a.Customer == b.Customer &&
		a.RequestsPerSecond == b.RequestsPerSecond &&
		a.Concurrency == b.Concurrency &&
		a.TokensPerMinute == b.TokensPerMinute &&
		a.Accelerators == b.Accelerators &&
		a.Priority == b.Priority &&
		a.RequestTimeout == b.RequestTimeout &&
		a.OnRemoval == b.OnRemoval
}
