package settings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/wire/schema"
)

func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../../docs/examples/entry-*.json")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 3)

	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(t, err)

		s, err := Decode(data)
		assert.NilError(t, err)
		assert.Equal(t, s.ListLag, 5*time.Second)
		assert.Assert(t, s.ChecksTokens("any"))
	}
}

// TestEveryFault: a file with many faults names each with its path.
func TestEveryFault(t *testing.T) {
	_, err := Decode([]byte(`{
		"id": "", "dataCentre": "a", "callers": {"listen": "nowhere", "port": 1},
		"operators": {"listen": "127.0.0.1:1", "keyHash": "xyz"}, "peers": {},
		"platform": {"address": "127.0.0.1:2"}, "cells": 0, "engines": {"exceptions": ["ok", 7]}
	}`))

	var faults *schema.FaultsError

	assert.Assert(t, errors.As(err, &faults))

	paths := make(map[string]bool)
	for _, f := range faults.Faults {
		paths[f.Path] = true
	}

	for _, want := range []string{
		"id", "callers", "callers.listen", "operators.keyHash", "peers", "cells", "engines.exceptions[1]",
	} {
		assert.Assert(t, paths[want], "%s is missing in\n%v", want, err)
	}
}

func TestCrossChecks(t *testing.T) {
	key := "0000000000000000000000000000000000000000000000000000000000000000"

	_, err := Decode([]byte(`{
		"id": "e", "dataCentre": "a", "callers": {"listen": "127.0.0.1:1"},
		"operators": {"listen": "127.0.0.1:1", "keyHash": "` + key + `"},
		"peers": {"listen": "999.0.0.1:3", "tls": {"certificate": "c", "key": "k"}},
		"platform": {"address": "127.0.0.1:2"}, "lease": {"durationMs": 1000, "renewMs": 900}
	}`))

	var faults *schema.FaultsError

	assert.Assert(t, errors.As(err, &faults))
	assert.Equal(t, len(faults.Faults), 4, "%v", err)
}
