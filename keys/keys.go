// Package keys creates credentials: API keys of callers and certificates for
// mutual TLS between instances.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/gravitational/trace"
)

const (
	callerKeyBytes     = 32
	callerKeyPrefix    = "mu-"
	serialBits         = 128
	clockSkewAllowance = 5 * time.Minute // certificates are valid from before their creation, because clocks differ
	certificatePEMType = "CERTIFICATE"
	keyPEMType         = "EC PRIVATE KEY"
)

// NewCallerKey returns a random key. The configuration sheet contains only its
// hash.
func NewCallerKey() string {
	var b [callerKeyBytes]byte
	_, _ = rand.Read(b[:]) // never fails since Go 1.24
	return callerKeyPrefix + base64.RawURLEncoding.EncodeToString(b[:])
}

// CertKeyPair is a certificate and its private key in PEM form.
type CertKeyPair struct {
	Certificate []byte
	Key         []byte
}

// NewCA returns a self-signed CA certificate, which signs the certificates of instances.
func NewCA(now time.Time, validFor time.Duration) (CertKeyPair, error) {
	template, err := newTemplate("magnoliausher authority", now, validFor)
	if err != nil {
		return CertKeyPair{}, trace.Wrap(err)
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return CertKeyPair{}, trace.Wrap(err)
	}
	return sign(template, template, key, key)
}

// NewInstanceCertificate returns the certificate of one instance, valid for its IP
// addresses in both TLS server and client roles.
func NewInstanceCertificate(ca CertKeyPair, id string, addresses []net.IP, now time.Time, validFor time.Duration) (CertKeyPair, error) {
	parent, parentKey, err := parse(ca)
	if err != nil {
		return CertKeyPair{}, trace.Wrap(err, "authority")
	}
	template, err := newTemplate(id, now, validFor)
	if err != nil {
		return CertKeyPair{}, trace.Wrap(err)
	}
	template.IPAddresses = addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return CertKeyPair{}, trace.Wrap(err)
	}
	return sign(template, parent, key, parentKey)
}

func newTemplate(name string, now time.Time, validFor time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkewAllowance),
		NotAfter:     now.Add(validFor),
	}, nil
}

func sign(template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (CertKeyPair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return CertKeyPair{}, trace.Wrap(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return CertKeyPair{}, trace.Wrap(err)
	}
	return CertKeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: certificatePEMType, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: keyPEMType, Bytes: keyDER}),
	}, nil
}

func parse(p CertKeyPair) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certBlock, _ := pem.Decode(p.Certificate)
	keyBlock, _ := pem.Decode(p.Key)
	if certBlock == nil || keyBlock == nil {
		return nil, nil, trace.BadParameter("certificate and key must be in PEM form")
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	key, err := x509.ParseECPrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	return cert, key, nil
}
