package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestBudgetBoundsRepeatsByTraffic(t *testing.T) {
	b := NewBudget(0.1)
	spent := 0
	for range 10000 {
		b.Request()
		if b.Spend() {
			spent++
		}
	}
	assert.InDelta(t, 1000, spent, reserve+1)
}

func TestMayRetry(t *testing.T) {
	tests := []struct {
		name string
		call Call
		want bool
	}{
		{"idempotent", Call{Idempotent: true, LeftForTarget: true, MaxAttempts: 3, Attempts: 1}, true},
		{"not idempotent, sent", Call{LeftForTarget: true, MaxAttempts: 3, Attempts: 1}, false},
		{"not idempotent, not sent", Call{MaxAttempts: 3, Attempts: 1}, true},
		{"attempts used up", Call{Idempotent: true, MaxAttempts: 3, Attempts: 3}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.want, MayRetry(test.call, NewBudget(0.1)))
		})
	}
}

func TestHedgeDelay(t *testing.T) {
	_, ok := HedgeDelay(time.Second, 3, time.Millisecond)
	assert.False(t, ok, "too few samples")
	delay, ok := HedgeDelay(time.Millisecond, 100, 20*time.Millisecond)
	assert.True(t, ok)
	assert.Equal(t, 20*time.Millisecond, delay)
}
