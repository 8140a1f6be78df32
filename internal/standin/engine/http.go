package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"corianderhitch/api/problem"
)

// maxBodyBytes limits a request body, including prompt and prefix.
const maxBodyBytes = 16 << 20

// parseNonNegative parses an integer of at least 0; empty text is 0.
func parseNonNegative(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, badRequest("the parameter %q is no whole number", text)
	}
	return n, nil
}

func badRequest(detail string, args ...any) error {
	return problem.New(problem.KindBadRequest, http.StatusBadRequest, problem.RanNo, "correct the request", detail, args...)
}

// decodeBody decodes a JSON body and rejects unknown fields. If it fails, it writes
// the problem document and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		problem.Write(w, badRequest("the body cannot be read: %v", err))
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
