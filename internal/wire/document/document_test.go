package document

import (
	"errors"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/wire/schema"
)

func TestRoundTrip(t *testing.T) {
	data, err := os.ReadFile("../../../docs/examples/plans.json")
	assert.NilError(t, err)

	_, plans, err := DecodePlans(data)
	assert.NilError(t, err)

	data, err = os.ReadFile("../../../docs/examples/allowances.json")
	assert.NilError(t, err)

	_, allowances, err := DecodeAllowances(data, func(name string) bool { return name == plans[0].Name })
	assert.NilError(t, err)

	state := plan.Restore(5, plans, allowances)

	for _, l := range []List{Plans, Allowances} {
		doc, err := Encode(l, state)
		assert.NilError(t, err)

		var again plan.State

		if l == Plans {
			version, plans, err := DecodePlans(doc)
			assert.NilError(t, err)

			again = plan.Restore(version, plans, state.Allowances(""))
		} else {
			version, allowances, err := DecodeAllowances(doc, nil)
			assert.NilError(t, err)

			again = plan.Restore(version, state.Plans(), allowances)
		}

		assert.Equal(t, again.Version(), uint64(5))
		assert.Equal(t, len(plan.Diff(state, again)), 0)
	}
}

func TestFaults(t *testing.T) {
	hash := strings.Repeat("a", 64)

	_, _, err := DecodePlans([]byte(`{"plans":[
		{"name":"a","customer":"c","keyHashes":["` + hash + `"],"requestTimeoutMs":1000},
		{"name":"a","customer":"c","keyHashes":["` + hash + `"],"requestTimeoutMs":1000}]}`))
	assertPaths(t, err, "plans[1].name", "plans[1].keyHashes[0]")

	_, _, err = DecodePlans([]byte(`{"plans":[{"name":"a b","customer":"c","keyHashes":[],"requestTimeoutMs":1,"prio":3}]}`))
	assertPaths(t, err, "plans[0]", "plans[0].keyHashes", "plans[0].name", "plans[0].requestTimeoutMs")

	_, _, err = DecodeAllowances([]byte(`{"allowances":[{"plan":"a"},{"plan":"a"}]}`), func(string) bool { return false })
	assertPaths(t, err, "allowances[0].plan", "allowances[1].plan", "allowances[1].plan")

	_, _, err = DecodePlans([]byte(`{`))
	assertPaths(t, err, "")
}

func assertPaths(t *testing.T, err error, paths ...string) {
	t.Helper()

	var faults *schema.FaultsError

	assert.Assert(t, errors.As(err, &faults), "%v", err)

	got := make([]string, len(faults.Faults))
	for i, f := range faults.Faults {
		got[i] = f.Path
	}

	assert.DeepEqual(t, got, paths)
}
