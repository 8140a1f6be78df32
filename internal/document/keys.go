package document

import "fmt"

// keyRoot precedes all document keys in the store.
const keyRoot = "/corianderhitch/documents/"

// CurrentKey is the store key of the Accepted record in force in an environment.
func CurrentKey(environment string) string { return keyRoot + environment + "/current" }

// HistoryKey is the store key of one Accepted record of the history.
func HistoryKey(environment string, revision int64) string {
	return fmt.Sprintf("%s%s/history/%012d", keyRoot, environment, revision)
}

// HistoryPrefix is the prefix of the history of an environment.
func HistoryPrefix(environment string) string { return keyRoot + environment + "/history/" }
