package service

// SeatHold is the body of POST /seat-holds.
type SeatHold struct {
	Berth string `json:"berth"`
}

// Dispatch is the body of POST /dispatches.
type Dispatch struct {
	Box string `json:"box"`
}

// Executed answers a call that must not be repeated. Execution is its number in
// the journal.
type Executed struct {
	Service   string `json:"service"`
	Execution int    `json:"execution"`
	Subject   string `json:"subject"` // berth or box
}

// Availability answers GET /availability with the holds of each berth so far.
type Availability struct {
	Service string         `json:"service"`
	Holds   map[string]int `json:"holds"`
}

// History answers GET /history with the dispatches of each box so far.
type History struct {
	Service    string         `json:"service"`
	Dispatches map[string]int `json:"dispatches"`
}
