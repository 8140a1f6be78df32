// Package tlskeys loads TLS material and the keys of resume tokens from files
// and takes up changed files without a restart. A file that is broken, half
// written, expired or does not fit the others leaves what is in force as it is.
package tlskeys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/logging"
)

// Material is the certificate of this host, its key and the trusted
// authorities, as last loaded. It is safe for concurrent use.
type Material struct {
	settings Settings
	log      *slog.Logger
	now      func() time.Time
	current  atomic.Pointer[loaded]
	seen     content // last files that were looked at; used by the watcher only
}

// loaded is one consistent set of material.
type loaded struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// Open loads the material. Nothing reloads it until Watch runs.
func Open(s Settings, log *slog.Logger) (*Material, error) {
	m := &Material{settings: s, log: logging.WithPrefix(log, "tls"), now: time.Now}
	if s.TLSCert == "" || s.TLSKey == "" || s.TLSCA == "" {
		return nil, eris.New("TLS needs all of --tls-cert, --tls-key and --tls-ca; set the missing ones or none")
	}
	files, err := m.read()
	if err != nil {
		return nil, err
	}
	m.seen = files
	next, err := m.check(files)
	if err != nil {
		return nil, err
	}
	m.current.Store(next)
	return m, nil
}

// Watch looks at the files again and again until ctx ends, and at once when
// reload receives. The caller owns the goroutine that runs it.
func (m *Material) Watch(ctx context.Context, reload <-chan struct{}) {
	watch(ctx, m.settings.TLSReload, reload, m.look)
}

// look takes up changed files. Each change is judged once, so that a broken
// file is logged once.
func (m *Material) look() {
	files, err := m.read()
	if err != nil {
		if m.seen.readable {
			m.log.Error("files cannot be read, the old material stays in force; restore them", "error", err)
			m.seen.readable = false
		}
		return
	}
	if files == m.seen {
		return
	}
	m.seen = files
	next, err := m.check(files)
	if err != nil {
		m.log.Error("new files are refused, the old material stays in force; replace them", "error", err)
		return
	}
	m.current.Store(next)
	m.log.Info("new material is in force", "expires", next.certificate.Leaf.NotAfter)
}

// Expires returns when the certificate in force expires, for metrics and alarms.
func (m *Material) Expires() time.Time { return m.current.Load().certificate.Leaf.NotAfter }
