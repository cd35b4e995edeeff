package main

import (
	"go/build"
	"os"
	"path"
	"slices"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/cli/command"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"fulmarcross": func() { os.Exit(command.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the commands end to end, as separate processes where a
// script starts several.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Setup: func(env *testscript.Env) error {
			dir, err := os.Getwd()
			env.Setenv("EXAMPLES", path.Join(dir, "docs", "examples"))

			return err
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"fetch": fetch, "await": await},
	})
}

const module = "github.com/fulmarcross/fulmarcross/"

// decisions are the packages that decide. They take their inputs as values.
var decisions = []string{
	"customer/key", "customer/limit", "customer/plan", "customer/quota", "customer/team", "fleet/instance", "fleet/inventory", "fleet/membership", "placement/demand", "placement/history", "placement/lease", "placement/ledger",
	"placement/replica", "placement/share", "placement/swap", "room/board", "serving/crash", "serving/queue", "serving/request",
	"serving/route", "serving/router", "serving/stream",
}

// doors are what packages do I/O with. Package net/netip has only values.
var doors = []string{"net", "net/http", "net/rpc", "os", "os/exec", "database/sql", "io/ioutil", "syscall"}

// TestDecisionsDoNoIO holds that no package of decisions imports one that
// does I/O, itself or through others of this module.
func TestDecisionsDoNoIO(t *testing.T) {
	for _, name := range decisions {
		seen := make(map[string]bool)
		walk(t, "internal/"+name, seen)

		for imported := range seen {
			assert.Assert(t, !slices.Contains(doors, imported), "%s imports %s", name, imported)
			assert.Assert(t, !strings.Contains(imported, "/wire/") && !strings.Contains(imported, "/platform/table"),
				"%s imports %s", name, imported)
		}
	}
}

func walk(t *testing.T, dir string, seen map[string]bool) {
	t.Helper()

	pkg, err := build.ImportDir(dir, 0)
	assert.NilError(t, err)

	for _, imported := range pkg.Imports {
		if seen[imported] {
			continue
		}

		seen[imported] = true

		if own, ok := strings.CutPrefix(imported, module); ok {
			walk(t, own, seen)
		}
	}
}
