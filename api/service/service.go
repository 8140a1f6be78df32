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

// HeaderBrittle names, in every answer of a service that fails if it rejects too much, how many
// rejections for want of room it bears in a second. HeaderRoom goes with it: how many calls it takes at a
// time, from all hosts together. Both are positive integers and hold until an answer lacks them.
const (
	HeaderBrittle = "Hitch-Brittle"
	HeaderRoom    = "Hitch-Room"
)

// ErrInvalidBrittleness means that HeaderBrittle or HeaderRoom is no positive integer.
var ErrInvalidBrittleness = errors.New("service: " + HeaderBrittle + " and " + HeaderRoom + " are no positive integers")

// Brittleness is what a brittle service states; zero for others.
type Brittleness struct {
	Rejections int // for want of room in a second, beyond which it fails
	Room       int // calls at a time
}

// ReadBrittleness returns what an answer states of brittleness.
func ReadBrittleness(h http.Header) (Brittleness, error) {
	if len(h.Values(HeaderBrittle)) == 0 {
		return Brittleness{}, nil
	}
	rejections, err := strconv.Atoi(h.Get(HeaderBrittle))
	room, roomErr := strconv.Atoi(h.Get(HeaderRoom))
	if err != nil || roomErr != nil || rejections <= 0 || room <= 0 || len(h.Values(HeaderBrittle)) > 1 || len(h.Values(HeaderRoom)) > 1 {
		return Brittleness{}, ErrInvalidBrittleness
	}
	return Brittleness{rejections, room}, nil
}
