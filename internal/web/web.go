// Package web serves the health and metrics endpoints of a program.
package web

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
)

const (
	// headerTimeout is the longest wait for a request's header.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes is the largest size of a request's header.
	maxHeaderBytes = 16 << 10
)

// Server serves /livez, /readyz, /metrics and pages for operators.
type Server struct {
	server *http.Server
	done   chan struct{}
}

// Start starts a server on the address, an ip:port. Readiness is served at /readyz and at
// readyPaths, for platforms that probe another path. The caller must call Stop.
func Start(address string, ready func() bool, metrics http.Handler, readyPaths ...string) (*Server, error) {
	return StartWithPages(address, ready, metrics, nil, readyPaths...)
}

// StartWithPages is Start with further pages, by path.
func StartWithPages(address string, ready func() bool, metrics http.Handler, pages map[string]http.Handler, readyPaths ...string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "cannot listen on %s; choose another --http", address)
	}
	router := mux.NewRouter()
	router.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }).Methods(http.MethodGet)
	for _, path := range append([]string{"/readyz"}, readyPaths...) {
		router.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
			if !ready() {
				http.Error(w, "no document yet, or stopping", http.StatusServiceUnavailable)
			}
		}).Methods(http.MethodGet)
	}
	router.Handle("/metrics", metrics).Methods(http.MethodGet)
	for path, page := range pages {
		router.Handle(path, page).Methods(http.MethodGet)
	}
	s := &Server{
		server: &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes},
		done:   make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(listener)
	}()
	return s, nil
}

// Stop stops the server. It waits for requests in progress until ctx ends, and then closes
// their connections.
func (s *Server) Stop(ctx context.Context) {
	if s.server.Shutdown(ctx) != nil {
		_ = s.server.Close()
	}
	<-s.done
}
