package service

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRequestLimit(t *testing.T) {
	for name, c := range map[string]struct {
		values    []string
		perSecond float64
		named     bool
		invalid   bool
	}{
		"none":         {},
		"decimal":      {values: []string{"4.5"}, perSecond: 4.5, named: true},
		"zero":         {values: []string{"0"}, named: true},
		"negative":     {values: []string{"-1"}, invalid: true},
		"no number":    {values: []string{"NaN"}, invalid: true},
		"infinite":     {values: []string{"Inf"}, invalid: true},
		"beyond range": {values: []string{"1e999"}, invalid: true},
		"text":         {values: []string{"few"}, invalid: true},
		"empty":        {values: []string{""}, invalid: true},
		"twice":        {values: []string{"1", "2"}, invalid: true},
	} {
		t.Run(name, func(t *testing.T) {
			perSecond, named, err := RequestLimit(http.Header{HeaderRequestLimit: c.values})
			require.Equal(t, c.invalid, err != nil)
			require.Equal(t, c.named, named)
			require.Equal(t, c.perSecond, perSecond)
		})
	}
}

func TestReadBrittleness(t *testing.T) {
	for name, c := range map[string]struct {
		brittle, room []string
		want          Brittleness
		invalid       bool
	}{
		"none":             {},
		"room only":        {room: []string{"3"}},
		"brittle":          {brittle: []string{"5"}, room: []string{"3"}, want: Brittleness{5, 3}},
		"without room":     {brittle: []string{"5"}, invalid: true},
		"zero":             {brittle: []string{"0"}, room: []string{"3"}, invalid: true},
		"negative room":    {brittle: []string{"5"}, room: []string{"-3"}, invalid: true},
		"fraction":         {brittle: []string{"1.5"}, room: []string{"3"}, invalid: true},
		"twice":            {brittle: []string{"5", "6"}, room: []string{"3"}, invalid: true},
		"beyond the range": {brittle: []string{"99999999999999999999"}, room: []string{"3"}, invalid: true},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := ReadBrittleness(http.Header{HeaderBrittle: c.brittle, HeaderRoom: c.room})
			require.Equal(t, c.invalid, err != nil)
			require.Equal(t, c.want, got)
		})
	}
}
