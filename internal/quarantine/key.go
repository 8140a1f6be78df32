// Package quarantine finds what the requests have in common under which targets crash: a
// part of their prompts, or the whole request if it is repeated. Hosts report starts that
// failed and starts that succeeded, and merge what they hear of each other. What is held back
// is a pure function of the merged evidence, so that hosts with the same evidence agree.
// The package has no network, clock or goroutine; instants are passed in.
package quarantine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Kind is the kind of a key.
type Kind uint8

// Kinds of keys. The values are part of the messages between hosts.
const (
	KindPart    Kind = 1 // a part of prompts that several requests may share
	KindRequest Kind = 2 // a request that is repeated byte for byte
	KindTarget  Kind = 3 // an incarnation of a target; never held back
)

var kindNames = map[Kind]string{KindPart: "part", KindRequest: "request", KindTarget: "target"}

// maxIDBytes bounds the ID of a key; longer ones are hashed.
const maxIDBytes = 64

// Key identifies something that requests may have in common.
type Key struct {
	Kind Kind
	ID   string // at most maxIDBytes
}

// Part returns the key of a part of prompts.
func Part(id string) Key { return newKey(KindPart, id) }

// Request returns the key of requests that are equal in all the given fields.
func Request(fields ...string) Key { return RequestWithBody(fields, nil) }

// RequestWithBody is Request with a further field, which may be large, between the others. It is left out if
// it is nil.
func RequestWithBody(before []string, body []byte, after ...string) Key {
	h := xxhash.New()
	writeFields(h, before)
	if body != nil {
		writeLength(h, len(body))
		_, _ = h.Write(body)
	}
	writeFields(h, after)
	return Key{KindRequest, strconv.FormatUint(h.Sum64(), 16)}
}

func writeFields(h *xxhash.Digest, fields []string) {
	for _, f := range fields {
		writeLength(h, len(f))
		_, _ = h.WriteString(f)
	}
}

func writeLength(h *xxhash.Digest, n int) {
	_, _ = h.WriteString(strconv.Itoa(n))
	_, _ = h.WriteString(":")
}

func targetKey(incarnation string) Key { return newKey(KindTarget, incarnation) }

func newKey(kind Kind, id string) Key {
	if len(id) > maxIDBytes {
		id = "#" + strconv.FormatUint(xxhash.Sum64String(id), 16)
	}
	return Key{kind, id}
}

// valid reports whether the key is one that this package makes. An older or newer build may know others.
func (k Key) valid() bool {
	_, known := kindNames[k.Kind]
	return known && k.ID != "" && len(k.ID) <= maxIDBytes
}

// String returns the key as operators read and write it, such as "part:4f1c".
func (k Key) String() string { return kindNames[k.Kind] + ":" + k.ID }

// ParseKey parses the result of String.
func ParseKey(text string) (Key, error) {
	kind, id, _ := strings.Cut(text, ":")
	for k, name := range kindNames {
		if name == kind && id != "" && k != KindTarget {
			return newKey(k, id), nil
		}
	}
	return Key{}, eris.Errorf("quarantine: key %q is neither part:ID nor request:ID", text)
}
