package enginemodel

import "time"

// WeightStore hands out model weights at a limited rate, one fetch after the
// other. Engines in one experiment share it. It is not safe for concurrent use.
type WeightStore struct {
	bytesPerSecond float64
	idle           time.Time // when the last fetch ends
}

// NewWeightStore returns a store with a rate in bytes a second.
func NewWeightStore(bytesPerSecond float64) *WeightStore {
	return &WeightStore{bytesPerSecond: max(1, bytesPerSecond)}
}

// Fetch queues a fetch and returns when it ends.
func (w *WeightStore) ScheduleFetch(now time.Time, bytes int64) time.Time {
	if now.After(w.idle) {
		w.idle = now
	}
	w.idle = w.idle.Add(time.Duration(float64(bytes) / w.bytesPerSecond * float64(time.Second)))
	return w.idle
}
