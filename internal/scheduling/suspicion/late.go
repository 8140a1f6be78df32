package suspicion

// lateMark is the bit of a fingerprint that tells late drafts from other requests.
// Whoever names a request as beside a crash so says what it is: a draft must not be
// lost to two deaths of other causes on the word of those that ran beside it.
const lateMark = 1 << 63

// Mark returns the fingerprint of a request by the hash of its content.
func Fingerprint(hash uint64, late bool) uint64 {
	if late {
		return hash | lateMark
	}
	return hash &^ lateMark
}

// IsLate tells whether a fingerprint is of a late draft.
func IsLateDelivery(fingerprint uint64) bool { return fingerprint&lateMark != 0 }
