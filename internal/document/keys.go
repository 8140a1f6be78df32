package document

import "fmt"

// keyRoot is the prefix of all document records in the store.
const keyRoot = "/corianderhitch/documents/"

// chunkRoot is the prefix of the chunks of document bodies in the store.
const chunkRoot = "/corianderhitch/document-chunks/"

// RecordsPrefix returns the key prefix of the records of all environments.
func RecordsPrefix() string { return keyRoot }

// CurrentKey returns the store key of the record in force in an environment.
func CurrentKey(environment string) string { return keyRoot + environment + "/current" }

// HistoryKey returns the key prefix of the history entries of one revision.
func HistoryKey(environment string, revision int64) string {
	return fmt.Sprintf("%s%s/history/%012d", keyRoot, environment, revision)
}

// HistoryPrefix returns the key prefix of the history of an environment.
func HistoryPrefix(environment string) string { return keyRoot + environment + "/history/" }

// HistoryAttemptKey returns the store key of the history entry of one attempt to
// create a revision. A revision may have entries of several attempts; the record
// that follows it, or the record in force, names the accepted one.
func HistoryAttemptKey(environment string, revision int64, attempt string) string {
	return HistoryKey(environment, revision) + "/" + attempt
}

// ChunkKey returns the store key of a chunk of a document body. digest is the
// SHA-256 of its content in hex.
func ChunkKey(digest string) string { return chunkRoot + digest }
