package origin_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
)

func TestAllows(t *testing.T) {
	for name, tc := range map[string]struct {
		origin origin.Origin
		target instance.Software
		want   bool
	}{
		"a stream that has not begun":         {origin.Origin{}, "v1", true},
		"the software that began it":          {origin.Of("v1"), "v1", true},
		"other software":                      {origin.Of("v1"), "v1.1", false},
		"newer and older are both others":     {origin.Of("v1.1"), "v1", false},
		"software without a name":             {origin.Of("v1"), "", false},
		"begun by software without a name":    {origin.Of(""), "", true},
		"unknown":                             {origin.Unknown(), "v1", false},
		"unknown, and software has no name":   {origin.Unknown(), "", false},
		"not begun, and software has no name": {origin.Origin{}, "", true},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, tc.origin.Allows(tc.target), tc.want) })
	}
}
