package judge

import "corianderhitch/internal/drill/record"

// unaskedExits finds processes that ended by themselves.
func unaskedExits(x *index) []Violation {
	var all []Violation
	for _, e := range x.run.HostEvents {
		if e.Event == record.Unasked {
			all = append(all, Violation{Rule: Exit, At: e.At, Host: e.Host, Text: "the process of " + e.Host + " ended by itself"})
		}
	}
	return all
}
