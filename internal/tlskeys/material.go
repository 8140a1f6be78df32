// Package tlskeys loads TLS credentials and the keys of resume tokens from files and
// reloads changed files without a restart. If a file is malformed, partly written,
// expired or doesn't match the others, the previous contents stay in use.
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

// Material holds this host's certificate with its private key and the trusted
// authorities, as last loaded successfully. It is safe for concurrent use.
type Material struct {
	settings Settings
	log      *slog.Logger
	now      func() time.Time
	current  atomic.Pointer[credentials]
	lastRead fileContents // contents at the last check; used only by Watch
}

// credentials is a certificate and the authorities that were verified together.
type credentials struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// Open loads the files named in s and returns an error if one is missing or invalid.
// Nothing reloads them until Watch runs.
func Open(s Settings, log *slog.Logger) (*Material, error) {
	m := &Material{settings: s, log: logging.WithPrefix(log, "tls"), now: time.Now}
	if s.TLSCert == "" || s.TLSKey == "" || s.TLSCA == "" {
		return nil, eris.New("TLS needs all of --tls-cert, --tls-key and --tls-ca; set the missing ones or none")
	}
	files, err := m.readFiles()
	if err != nil {
		return nil, err
	}
	m.lastRead = files
	next, err := m.parseAndVerify(files)
	if err != nil {
		return nil, err
	}
	m.current.Store(next)
	return m, nil
}

// Watch checks the files for changes periodically, and whenever reload receives, and
// returns when ctx ends.
func (m *Material) Watch(ctx context.Context, reload <-chan struct{}) {
	watch(ctx, m.settings.TLSReload, reload, m.reloadIfChanged)
}

// reloadIfChanged loads the files if they have changed. Invalid files leave the current
// credentials in use and are logged once per change.
func (m *Material) reloadIfChanged() {
	files, err := m.readFiles()
	if err != nil {
		if m.lastRead.readable {
			m.log.Error("TLS files cannot be read; the previous material stays in use; restore the files", "error", err)
			m.lastRead.readable = false
		}
		return
	}
	if files == m.lastRead {
		return
	}
	m.lastRead = files
	next, err := m.parseAndVerify(files)
	if err != nil {
		m.log.Error("new TLS files are rejected; the previous material stays in use; replace the files", "error", err)
		return
	}
	m.current.Store(next)
	m.log.Info("TLS files reloaded", "expires", next.certificate.Leaf.NotAfter)
}

// Expires returns when the current certificate expires, for metrics and alerts.
func (m *Material) Expires() time.Time { return m.current.Load().certificate.Leaf.NotAfter }
