// Package service defines what plain services state to hosts in the headers of their answers.
package service

import (
	"errors"
	"math"
	"net/http"
	"strconv"
)

// HeaderRequestLimit names, in every answer of a service in need, how many requests a second it
// takes from all hosts together, as a decimal number. It holds until an answer lacks it.
const HeaderRequestLimit = "Hitch-Request-Limit"

// ErrInvalidLimit means that HeaderRequestLimit is no decimal number of at least 0.
var ErrInvalidLimit = errors.New("service: " + HeaderRequestLimit + " is no decimal number of at least 0")

// RequestLimit returns the limit that an answer names, in requests a second, and whether it names
// one.
func RequestLimit(h http.Header) (perSecond float64, named bool, err error) {
	values := h.Values(HeaderRequestLimit)
	if len(values) == 0 {
		return 0, false, nil
	}
	perSecond, err = strconv.ParseFloat(values[0], 64)
	if err != nil || len(values) > 1 || !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		return 0, false, ErrInvalidLimit
	}
	return perSecond, true, nil
}
