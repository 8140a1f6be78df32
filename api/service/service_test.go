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
