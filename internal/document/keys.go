package document

import "fmt"

// keyRoot precedes all document keys in the store.
const keyRoot = "/corianderhitch/documents/"

// chunkRoot precedes the keys of all parts of document bodies.
const chunkRoot = "/corianderhitch/document-chunks/"

// AllPrefix is the prefix of the records of all environments.
func RecordsPrefix() string { return keyRoot }

// CurrentKey is the store key of the Accepted record in force in an environment.
func CurrentKey(environment string) string { return keyRoot + environment + "/current" }

// HistoryKey is the store key of one Accepted record of the history.
func HistoryKey(environment string, revision int64) string {
	return fmt.Sprintf("%s%s/history/%012d", keyRoot, environment, revision)
}

// HistoryPrefix is the prefix of the history of an environment.
func HistoryPrefix(environment string) string { return keyRoot + environment + "/history/" }

// HistoryAttemptKey is the store key of one attempt to become a revision.
// Several attempts may stand under one revision; the record in force names the
// accepted one.
func HistoryAttemptKey(environment string, revision int64, attempt string) string {
	return HistoryKey(environment, revision) + "/" + attempt
}

// ChunkKey is the store key of a part of a document body, named by its content.
func ChunkKey(digest string) string { return chunkRoot + digest }
