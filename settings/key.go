package settings

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

const privateKeyType = "PRIVATE KEY"

// FormatPublicKey returns the key in the form that [ParsePublicKey] reads.
func FormatPublicKey(key ed25519.PublicKey) string { return base64.StdEncoding.EncodeToString(key) }

// ParsePublicKey parses a public key in the form used in root.yaml: 32 bytes in
// base64.
func ParsePublicKey(text string) (key ed25519.PublicKey, err error) {
	key, err = base64.StdEncoding.DecodeString(text)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("public key %.60q is not %d bytes in base64; lacewingslip settings keygen prints one", text, ed25519.PublicKeySize)
	}
	return key, nil
}

// FormatPrivateKey returns the key in PKCS #8 form, PEM-encoded, which other
// programs can read and write too.
func FormatPrivateKey(key ed25519.PrivateKey) (text []byte, err error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, eris.Wrap(err, "encode private key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: privateKeyType, Bytes: der}), nil
}

// ParsePrivateKey is the inverse of [FormatPrivateKey]. Its errors don't quote the
// text, since it is secret.
func ParsePrivateKey(text []byte) (key ed25519.PrivateKey, err error) {
	defer func() { err = eris.Wrap(err, "decode private key") }()
	block, _ := pem.Decode(text)
	if block == nil || block.Type != privateKeyType {
		return nil, errors.New("expected PEM with a block of type " + privateKeyType)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, err
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("key is of type %T; expected an ed25519 key", parsed)
	}
	return key, nil
}
