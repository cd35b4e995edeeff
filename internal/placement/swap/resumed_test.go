package swap

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

func (t Target) at(s instance.Software) Target {
	t.Software = s

	return t
}

// TestResumedModel checks that a model is loaded where resumed streams may go on with it.
func TestResumedModel(t *testing.T) {
	gone := targetWith("a").withDisk("m0").at("v1")
	gone.Serving = false

	cases := map[string]struct {
		targets []Target
		resumed []instance.Software
		want    []string
	}{
		"only other software holds it": {
			[]Target{targetWith("a", "m0").at("v2"), targetWith("b").withDisk("m0").at("v2"), targetWith("c").withDisk("m0").at("v1")},
			[]instance.Software{"v1"},
			[]string{"c m0 []"},
		},
		"a target of the software holds it": {
			[]Target{targetWith("a", "m0").at("v1"), targetWith("b").withDisk("m0").at("v1")}, []instance.Software{"v1"}, nil,
		},
		"streams of two versions": {
			[]Target{targetWith("a", "m0").at("v3"), targetWith("b").withDisk("m0").at("v1"), targetWith("c").withDisk("m0").at("v2")},
			[]instance.Software{"v1", "v2"},
			[]string{"b m0 []", "c m0 []"},
		},
		"nothing holds it": {
			[]Target{targetWith("a").withDisk("m0").at("v2"), targetWith("b").withDisk("m0").at("v1")},
			[]instance.Software{"v1"},
			[]string{"b m0 []"},
		},
		"an idle model makes room": {
			[]Target{targetWith("a", "m0").at("v2"), targetWith("b", "m1", "m2", "m3").withDisk("m0").at("v1")},
			[]instance.Software{"v1"},
			[]string{"b m0 [m1]"},
		},
		"not from the weight store": {
			[]Target{targetWith("a", "m0").at("v2"), targetWith("b").at("v1")}, []instance.Software{"v1"}, nil,
		},
		"the last target of the software is gone": {
			[]Target{gone, targetWith("b", "m0").at("v2")}, []instance.Software{"v1"}, nil,
		},
		"nobody resumes": {
			[]Target{targetWith("a", "m0").at("v2"), targetWith("b").withDisk("m0").at("v1")}, nil, nil,
		},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			swaps := Decide(&Snapshot{
				Now: now, Engine: engine(6), Targets: c.targets, Demands: []Demand{waiting("m0")}, FreeStoreLoads: 1,
				Resumed: map[string][]instance.Software{"m0": c.resumed},
			}).Swaps

			var got []string
			for _, s := range swaps {
				got = append(got, fmt.Sprintf("%s %s %v", s.Target, s.Load, s.Unload))
			}

			assert.DeepEqual(t, got, c.want)
		})
	}
}
