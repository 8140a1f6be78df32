package store

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/gorilla/mux"

	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
)

// maxAdminBodyBytes limits the body of an admin request.
const maxAdminBodyBytes = 4 << 20

// addAdmin registers the admin API for tests. It also works during an injected outage:
//
//	GET    /admin/fault                   memstore.Fault
//	PUT    /admin/fault                   memstore.Fault: replace the injected fault
//	PATCH  /admin/fault                   memstore.Fault: change only the fields in the body
//	POST   /admin/copy                    keep a copy of the store in place of the last one
//	POST   /admin/restore                 replace the store by the copy, in a new era
//	GET    /admin/counts                  memstore.Counts
//	GET    /admin/targets                 []platform.Target, without the injected lag
//	PUT    /admin/targets                 []platform.Target: replace the host list
//	PUT    /admin/targets/{name}          platform.Target: add or replace one target
//	DELETE /admin/targets/{name}          remove one target
//	POST   /admin/targets/{name}/leaving  mark one target as leaving
func (s *Server) addAdmin(r *mux.Router) {
	r.HandleFunc("/admin/fault", s.getFault).Methods(http.MethodGet)
	r.HandleFunc("/admin/fault", s.putFault).Methods(http.MethodPut)
	r.HandleFunc("/admin/fault", s.patchFault).Methods(http.MethodPatch)
	r.HandleFunc("/admin/copy", s.postCopy).Methods(http.MethodPost)
	r.HandleFunc("/admin/restore", s.postRestore).Methods(http.MethodPost)
	r.HandleFunc("/admin/counts", s.getCounts).Methods(http.MethodGet)
	r.HandleFunc("/admin/targets", s.getTargets).Methods(http.MethodGet)
	r.HandleFunc("/admin/targets", s.putTargets).Methods(http.MethodPut)
	r.HandleFunc("/admin/targets/{name}", s.putTarget).Methods(http.MethodPut)
	r.HandleFunc("/admin/targets/{name}", s.deleteTarget).Methods(http.MethodDelete)
	r.HandleFunc("/admin/targets/{name}/leaving", s.postLeaving).Methods(http.MethodPost)
}

func (s *Server) getFault(w http.ResponseWriter, _ *http.Request) {
	writeResult(w, s.store.Fault(), nil)
}

func (s *Server) putFault(w http.ResponseWriter, r *http.Request) {
	var fault memstore.Fault
	if !decodeBody(w, r, &fault) {
		return
	}
	s.store.SetFault(fault)
	writeResult(w, fault, nil)
}

func (s *Server) patchFault(w http.ResponseWriter, r *http.Request) {
	fault := s.store.Fault()
	if !decodeBody(w, r, &fault) {
		return
	}
	s.store.SetFault(fault)
	writeResult(w, fault, nil)
}

func (s *Server) postCopy(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.copied = s.store.Copy()
	s.mu.Unlock()
	writeResult(w, struct{}{}, nil)
}

func (s *Server) postRestore(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copied == nil {
		writeResult(w, nil, platform.ErrNotFound)
		return
	}
	s.store.Restore(s.copied)
	writeResult(w, struct{}{}, nil)
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeResult(w, s.store.Counts(), nil)
}

func (s *Server) getTargets(w http.ResponseWriter, _ *http.Request) {
	writeResult(w, s.store.CurrentTargets(), nil)
}

func (s *Server) putTargets(w http.ResponseWriter, r *http.Request) {
	var targets []platform.Target
	if !decodeBody(w, r, &targets) {
		return
	}
	s.store.SetTargets(targets)
	writeResult(w, targets, nil)
}

func (s *Server) putTarget(w http.ResponseWriter, r *http.Request) {
	var target platform.Target
	if !decodeBody(w, r, &target) {
		return
	}
	target.Name = mux.Vars(r)["name"]
	s.store.PutTarget(target)
	writeResult(w, target, nil)
}

func (s *Server) deleteTarget(w http.ResponseWriter, r *http.Request) {
	s.store.RemoveTarget(mux.Vars(r)["name"])
	writeResult(w, s.store.CurrentTargets(), nil)
}

func (s *Server) postLeaving(w http.ResponseWriter, r *http.Request) {
	if !s.store.MarkLeaving(mux.Vars(r)["name"]) {
		writeResult(w, nil, platform.ErrNotFound)
		return
	}
	writeResult(w, s.store.CurrentTargets(), nil)
}

// decodeBody decodes a JSON body and rejects unknown fields. If it fails, it writes
// the error and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxAdminBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		writeResult(w, nil, err)
		return false
	}
	return true
}
