package tlskeys

import (
	"bytes"
	"crypto/x509"
	"encoding/pem"

	"github.com/rotisserie/eris"
)

// parseAuthorities parses PEM certificates into a pool. Unlike
// x509.CertPool.AppendCertsFromPEM it returns an error if any block is malformed,
// which detects a partly written file.
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
			return nil, eris.Errorf("--tls-ca contains a PEM block of type %q; it must contain certificates only", block.Type)
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, eris.Wrap(err, "--tls-ca contains a malformed certificate; write the complete file")
		}
		pool.AddCert(certificate)
		found++
	}
	if found == 0 || bytes.Count(text, []byte("-----BEGIN")) != found {
		return nil, eris.New("--tls-ca contains no certificate or a truncated one; write the complete file")
	}
	return pool, nil
}
