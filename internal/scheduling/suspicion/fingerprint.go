package suspicion

// lateDeliveryBit is set in the fingerprints of requests for late delivery. Being
// part of the fingerprint, it travels with every crash report that lists the
// request as a co-resident: a late delivery must not be rejected for two crashes
// with other causes because other hosts reported it as co-resident in both.
const lateDeliveryBit = 1 << 63

// Fingerprint returns the fingerprint of a request whose content has the given hash.
func Fingerprint(hash uint64, lateDelivery bool) uint64 {
	if lateDelivery {
		return hash | lateDeliveryBit
	}
	return hash &^ lateDeliveryBit
}

// IsLateDelivery reports whether a fingerprint belongs to a request for late delivery.
func IsLateDelivery(fingerprint uint64) bool { return fingerprint&lateDeliveryBit != 0 }
