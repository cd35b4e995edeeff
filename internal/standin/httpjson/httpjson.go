// Package httpjson reads and writes the JSON bodies of the stand-ins.
package httpjson

import (
	"encoding/json"
	"net/http"
)

// Decode reads a bounded body into v. It answers the request itself and
// returns false when the body cannot be read.
func Decode(w http.ResponseWriter, r *http.Request, most int64, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, most)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return false
	}

	return true
}

// Write answers with v.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
