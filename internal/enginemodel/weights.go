package enginemodel

import "time"

// WeightStore simulates a store of model weights with a limited rate that serves one
// fetch after the other. Several engines can share it. It is not safe for concurrent
// use.
type WeightStore struct {
	bytesPerSecond float64
	busyUntil      time.Time // when the last scheduled fetch ends
}

// NewWeightStore returns an idle store with a rate in bytes per second, at least 1.
func NewWeightStore(bytesPerSecond float64) *WeightStore {
	return &WeightStore{bytesPerSecond: max(1, bytesPerSecond)}
}

// ScheduleFetch schedules a fetch after all earlier ones and returns when it ends.
func (w *WeightStore) ScheduleFetch(now time.Time, bytes int64) time.Time {
	if now.After(w.busyUntil) {
		w.busyUntil = now
	}
	w.busyUntil = w.busyUntil.Add(time.Duration(float64(bytes) / w.bytesPerSecond * float64(time.Second)))
	return w.busyUntil
}
