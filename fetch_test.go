package main

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// fetch is the script command "fetch URL [BODY [HEADER=VALUE…]]". It sends a
// GET request, or a POST request if BODY is given, and writes the response body
// to the file named "answer". The key is demo-key unless a HEADER replaces the
// Authorization header. It fails if the status is 400 or above; negated, it
// fails if the status is below 400.
func fetch(ts *testscript.TestScript, neg bool, args []string) {
	body, status, err := get(args)
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs("answer"), body, 0o600))

	if ok := status < http.StatusBadRequest; ok == neg {
		ts.Fatalf("%s answered %d: %s", args[0], status, body)
	}
}

// await is the script command "await URL [BODY [HEADER=VALUE…]]". It sends the
// same request as fetch up to 300 times, with a pause of 50 ms after each
// attempt, until the status is 200, and fails if it never is. Negation has no
// effect.
func await(ts *testscript.TestScript, _ bool, args []string) {
	for range 300 {
		if _, status, err := get(args); err == nil && status == http.StatusOK {
			return
		}

		time.Sleep(50 * time.Millisecond)
	}

	ts.Fatalf("%s: no success", args[0])
}

func get(args []string) ([]byte, int, error) {
	method, body := http.MethodGet, ""
	if len(args) > 1 {
		method, body = http.MethodPost, args[1]
	}

	req, err := http.NewRequest(method, args[0], bytes.NewBufferString(body))
	if err != nil {
		return nil, 0, err
	}

	req.Header.Set("Authorization", "Bearer demo-key")

	for _, h := range args[min(2, len(args)):] {
		name, value, _ := strings.Cut(h, "=")
		req.Header.Set(name, value)
	}

	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()

	data, err := io.ReadAll(resp.Body)

	return data, resp.StatusCode, err
}
