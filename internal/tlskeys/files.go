package tlskeys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// content is the text of the three files.
type content struct {
	readable               bool
	cert, key, authorities string
}

func (m *Material) read() (content, error) {
	var c content
	for _, f := range []struct {
		name, flag string
		text       *string
	}{
		{m.settings.TLSCert, "--tls-cert", &c.cert},
		{m.settings.TLSKey, "--tls-key", &c.key},
		{m.settings.TLSCA, "--tls-ca", &c.authorities},
	} {
		text, err := os.ReadFile(f.name)
		if err != nil {
			return content{}, eris.Wrapf(err, "cannot read %s; check that the file is there and readable", f.flag)
		}
		*f.text = string(text)
	}
	c.readable = true
	return c, nil
}

// check parses the files and refuses material with which no peer would connect.
func (m *Material) check(c content) (*loaded, error) {
	pair, err := tls.X509KeyPair([]byte(c.cert), []byte(c.key))
	if err != nil {
		return nil, eris.Wrap(err, "--tls-cert and --tls-key are no pair; write both files whole, the key last")
	}
	pool, err := parseAuthorities([]byte(c.authorities))
	if err != nil {
		return nil, err
	}
	if err := checkLeaf(&pair, pool, m.now()); err != nil {
		return nil, err
	}
	return &loaded{certificate: &pair, authorities: pool}, nil
}

// checkLeaf verifies the host's own certificate as its peers will.
func checkLeaf(pair *tls.Certificate, pool *x509.CertPool, now time.Time) error {
	leaf := pair.Leaf
	if now.After(leaf.NotAfter) {
		return eris.Errorf("--tls-cert expired at %s; issue a new certificate", leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	if now.Before(leaf.NotBefore) {
		return eris.Errorf("--tls-cert is valid from %s only; check the clock or issue a new certificate", leaf.NotBefore.UTC().Format(time.RFC3339))
	}
	intermediates := x509.NewCertPool()
	for _, der := range pair.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			intermediates.AddCert(c)
		}
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		options := x509.VerifyOptions{Roots: pool, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage}}
		if _, err := leaf.Verify(options); err != nil {
			return eris.Wrap(err, "--tls-cert is not issued by an authority in --tls-ca for both server and client use; "+
				"add the authority first, then replace the certificate")
		}
	}
	return nil
}
