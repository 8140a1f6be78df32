package service

// SeatHold is the body of POST /seat-holds.
type SeatHold struct {
	Berth string `json:"berth"`
}

// Dispatch is the body of POST /dispatches.
type Dispatch struct {
	Box string `json:"box"`
}

// Executed is the response of a non-idempotent call. Execution is its number in the
// journal.
type Executed struct {
	Service   string `json:"service"`
	Execution int    `json:"execution"`
	Subject   string `json:"subject"` // berth or box
}

// Availability is the response of GET /availability: the number of holds by berth.
type Availability struct {
	Service string         `json:"service"`
	Holds   map[string]int `json:"holds"`
}

// History is the response of GET /history: the number of dispatches by box.
type History struct {
	Service    string         `json:"service"`
	Dispatches map[string]int `json:"dispatches"`
}
