// Package store serves memstore over HTTP as a fake of the platform's key-value store
// and host list. Package kvwire describes the API; admin.go adds one for tests. It is
// meant for tests and demonstrations only.
package store

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/kvwire"
	"corianderhitch/internal/platform/memstore"
)

// errBadRequest is returned for a request that cannot be parsed.
var errBadRequest = eris.New("store: malformed call; see package kvwire for the paths and parameters")

// Server serves a memstore.Store over HTTP. Its lease ids carry the era of the store like
// revisions do, so that an id of an earlier era never names a lease of another client.
type Server struct {
	store *memstore.Store

	mu     sync.Mutex
	copied *memstore.Copy // guarded by mu; the copy that the admin API restores, nil if none was made
}

// New returns a server for the store.
func New(store *memstore.Store) *Server { return &Server{store: store} }

// leaseWithEra returns the id by which clients know a lease of the current era.
func (s *Server) leaseWithEra(id platform.LeaseID) platform.LeaseID {
	return platform.LeaseID(platform.NewRevision(s.store.Era(), int64(id)))
}

// storeLease returns the store's id of a lease, or ErrLeaseExpired for a lease of an earlier
// era. 0 stands for no lease.
func (s *Server) storeLease(id int64) (platform.LeaseID, error) {
	named := platform.Revision(id)
	if id != 0 && named.Era() != s.store.Era() {
		return 0, platform.ErrLeaseExpired
	}
	return platform.LeaseID(named.Number()), nil
}

// Handler returns the store API and the admin API.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/kv", s.getEntry).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv", s.putEntry).Methods(http.MethodPut)
	r.HandleFunc("/v1/kv", s.deleteEntry).Methods(http.MethodDelete)
	r.HandleFunc("/v1/list", s.listEntries).Methods(http.MethodGet)
	r.HandleFunc("/v1/watch", s.watchEntries).Methods(http.MethodGet)
	r.HandleFunc("/v1/leases", s.grantLease).Methods(http.MethodPost)
	r.HandleFunc("/v1/leases/{id}", s.renewLease).Methods(http.MethodPost)
	r.HandleFunc("/v1/leases/{id}", s.revokeLease).Methods(http.MethodDelete)
	r.HandleFunc("/v1/targets", s.listTargets).Methods(http.MethodGet)
	s.addAdmin(r)
	return r
}

func (s *Server) getEntry(w http.ResponseWriter, r *http.Request) {
	entry, err := s.store.Get(r.Context(), r.URL.Query().Get("key"))
	writeResult(w, entry, err)
}

func (s *Server) listEntries(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := parseInteger(q.Get("limit"))
	if err != nil {
		writeResult(w, nil, err)
		return
	}
	entries, revision, err := s.store.List(r.Context(), q.Get("prefix"), q.Get("after"), int(limit))
	writeResult(w, kvwire.ListReply{Entries: entries, Revision: revision}, err)
}

func (s *Server) watchEntries(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := parseInteger(q.Get("after"))
	if err != nil {
		writeResult(w, nil, err)
		return
	}
	events, revision, err := s.store.Watch(r.Context(), q.Get("prefix"), platform.Revision(after))
	writeResult(w, kvwire.WatchReply{Events: events, Revision: revision}, err)
}

// putEntry handles a write of an entry; the query holds its key, condition and lease.
func (s *Server) putEntry(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	condition, err := parseInteger(q.Get("if"))
	if err != nil {
		writeResult(w, nil, err)
		return
	}
	lease, err := parseInteger(q.Get("lease"))
	if err != nil {
		writeResult(w, nil, err)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil {
		writeResult(w, nil, errBadRequest)
		return
	}
	storeLease, err := s.storeLease(lease)
	if err != nil {
		writeResult(w, nil, err)
		return
	}
	revision, err := s.store.Put(r.Context(), q.Get("key"), value, platform.Revision(condition), storeLease)
	writeResult(w, kvwire.WriteReply{Revision: revision}, err)
}

func (s *Server) deleteEntry(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	condition, err := parseInteger(q.Get("if"))
	if err == nil {
		err = s.store.Delete(r.Context(), q.Get("key"), platform.Revision(condition))
	}
	writeResult(w, kvwire.WriteReply{}, err)
}

func (s *Server) grantLease(w http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil {
		writeResult(w, nil, errBadRequest)
		return
	}
	id, err := s.store.Grant(r.Context(), ttl)
	writeResult(w, kvwire.LeaseReply{ID: s.leaseWithEra(id)}, err)
}

func (s *Server) renewLease(w http.ResponseWriter, r *http.Request) {
	id, err := parseInteger(mux.Vars(r)["id"])
	var storeLease platform.LeaseID
	if err == nil {
		storeLease, err = s.storeLease(id)
	}
	if err == nil {
		err = s.store.KeepAlive(r.Context(), storeLease)
	}
	writeResult(w, kvwire.LeaseReply{ID: platform.LeaseID(id)}, err)
}

func (s *Server) revokeLease(w http.ResponseWriter, r *http.Request) {
	id, err := parseInteger(mux.Vars(r)["id"])
	var storeLease platform.LeaseID
	if err == nil {
		storeLease, err = s.storeLease(id)
	}
	if err == nil {
		err = s.store.Revoke(r.Context(), storeLease)
	}
	writeResult(w, kvwire.LeaseReply{ID: platform.LeaseID(id)}, err)
}

func (s *Server) listTargets(w http.ResponseWriter, r *http.Request) {
	targets, err := s.store.Targets(r.Context())
	writeResult(w, targets, err)
}

// parseInteger parses an integer; empty text is 0.
func parseInteger(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, errBadRequest
	}
	return n, nil
}

// writeResult sends value, or the error reply for err. ErrOutcomeUnknown closes the
// connection without a response, which simulates a lost response.
func writeResult(w http.ResponseWriter, value any, err error) {
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		status, reply := errorReplyFor(err)
		writeJSON(w, status, reply)
		return
	}
	writeJSON(w, http.StatusOK, value)
}

// errorReplyFor returns the status and body for err. Unmapped errors are bad requests.
func errorReplyFor(err error) (int, kvwire.ErrorReply) {
	for _, m := range kvwire.ErrorMappings() {
		if errors.Is(err, m.Err) {
			return m.Status, kvwire.ErrorReply{Code: m.Code, Message: err.Error()}
		}
	}
	return http.StatusBadRequest, kvwire.ErrorReply{Code: kvwire.CodeBadRequest, Message: err.Error()}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
