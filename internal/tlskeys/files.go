package tlskeys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// fileContents holds the contents of the certificate, key and authorities files.
type fileContents struct {
	readable               bool
	cert, key, authorities string
}

// readFiles reads the certificate, key and authorities files.
func (m *Material) readFiles() (fileContents, error) {
	var contents fileContents
	for _, f := range []struct {
		name, flag string
		text       *string
	}{
		{m.settings.TLSCert, "--tls-cert", &contents.cert},
		{m.settings.TLSKey, "--tls-key", &contents.key},
		{m.settings.TLSCA, "--tls-ca", &contents.authorities},
	} {
		text, err := os.ReadFile(f.name)
		if err != nil {
			return fileContents{}, eris.Wrapf(err, "cannot read %s; check that the file exists and is readable", f.flag)
		}
		*f.text = string(text)
	}
	contents.readable = true
	return contents, nil
}

// parseAndVerify parses the files and returns an error for credentials that peers
// would reject.
func (m *Material) parseAndVerify(contents fileContents) (*credentials, error) {
	pair, err := tls.X509KeyPair([]byte(contents.cert), []byte(contents.key))
	if err != nil {
		return nil, eris.Wrap(err, "--tls-cert and --tls-key do not match; write both files completely, the key last")
	}
	pool, err := parseAuthorities([]byte(contents.authorities))
	if err != nil {
		return nil, err
	}
	if err := verifyLeaf(&pair, pool, m.now()); err != nil {
		return nil, err
	}
	return &credentials{certificate: &pair, authorities: pool}, nil
}

// verifyLeaf verifies this host's own certificate the way its peers will.
func verifyLeaf(pair *tls.Certificate, pool *x509.CertPool, now time.Time) error {
	leaf := pair.Leaf
	if now.After(leaf.NotAfter) {
		return eris.Errorf("--tls-cert expired at %s; issue a new certificate", leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	if now.Before(leaf.NotBefore) {
		return eris.Errorf("--tls-cert is not valid before %s; check the clock or issue a new certificate", leaf.NotBefore.UTC().Format(time.RFC3339))
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
