package victim

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestChoose(t *testing.T) {
	tests := []struct {
		name string
		list []Candidate
		want int
	}{
		{"none", nil, -1},
		{"lowest priority", []Candidate{{Priority: 8, HeldTokens: 10}, {Priority: 2, HeldTokens: 10, LostTokens: 900}}, 1},
		{"least lost for what it frees", []Candidate{{LostTokens: 500, HeldTokens: 600}, {LostTokens: 100, HeldTokens: 600}}, 1},
		{"may be late", []Candidate{{LostTokens: 300, HeldTokens: 600}, {LostTokens: 600, HeldTokens: 600, MayBeLate: true}}, 1},
		{"ticket breaks ties", []Candidate{{Ticket: "b"}, {Ticket: "a"}}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { assert.Equal(t, test.want, Choose(test.list)) })
	}
}

func BenchmarkChoose(b *testing.B) {
	list := make([]Candidate, 48)
	for i := range list {
		list[i] = Candidate{Ticket: "t", Priority: i % 3, LostTokens: i * 10, HeldTokens: 700 - i}
	}
	b.ReportAllocs()
	for b.Loop() {
		Choose(list)
	}
}
