package tlskeys

import (
	"bytes"
	"crypto/x509"
	"encoding/pem"

	"github.com/rotisserie/eris"
)

// parseAuthorities reads certificates in PEM. Unlike x509.CertPool it refuses a
// file that has anything broken in it, such as one that is half written.
func parseAuthorities(text []byte) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	found := 0
	rest := text
	for {
		var block *pem.Block
		block, rest = pem.Decode(rest)
		if block == nil {
			break
		}
		if block.Type != "CERTIFICATE" {
			return nil, eris.Errorf("--tls-ca holds a %s; it must hold certificates only", block.Type)
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, eris.Wrap(err, "--tls-ca holds a broken certificate; write the file whole")
		}
		pool.AddCert(certificate)
		found++
	}
	if found == 0 || bytes.Count(text, []byte("-----BEGIN")) != found {
		return nil, eris.New("--tls-ca holds no certificate or a cut one; write the file whole")
	}
	return pool, nil
}
