package keys

import (
	"crypto"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"os"
	"strings"
)

const (
	// maxFileBytes is the maximum size of a file; a chain with its authorities takes a few
	// thousand bytes.
	maxFileBytes = 1 << 20
	// worldAccess are the permission bits that give every user of the VM access.
	worldAccess = 0o007
)

const (
	blockCertificate = "CERTIFICATE"
	blockKeySuffix   = "PRIVATE KEY"
)

// ReadCertificates reads the certificates of a PEM file, which must hold at least one. The
// error is of type *Error.
func ReadCertificates(file string) ([]*x509.Certificate, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return parseCertificates(file, data)
}

// parseCertificates parses the certificates in data, the content of the file.
func parseCertificates(file string, data []byte) ([]*x509.Certificate, error) {
	var certs []*x509.Certificate
	for {
		var block *pem.Block
		if block, data = pem.Decode(data); block == nil {
			break
		}
		if block.Type != blockCertificate {
			continue
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, &Error{file, fmt.Sprintf("certificate %d can't be read: %v", len(certs)+1, err), "copy the file again from where it was issued"}
		}
		certs = append(certs, c)
	}
	if len(certs) == 0 {
		return nil, &Error{file, "it holds no certificate", "name a PEM file with a block BEGIN CERTIFICATE"}
	}
	return certs, nil
}

// ReadKey reads the private key of a PEM file. It refuses a file that every user of the VM has
// access to. The error is of type *Error and contains no part of the file's content.
func ReadKey(file string) (crypto.Signer, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	info, err := os.Stat(file)
	if err != nil {
		return nil, unreadable(file, err)
	}
	if info.Mode().Perm()&worldAccess != 0 {
		return nil, &Error{file, fmt.Sprintf("every user of the VM may use the key (mode %04o)", info.Mode().Perm()), "chmod 600 it, and have a new one issued if others were on the VM"}
	}
	return parseKey(file, data)
}

// parseKey parses the first private key in data, the content of the file.
func parseKey(file string, data []byte) (crypto.Signer, error) {
	for {
		var block *pem.Block
		if block, data = pem.Decode(data); block == nil {
			return nil, &Error{file, "it holds no private key", "name a PEM file with a block BEGIN PRIVATE KEY"}
		}
		if !strings.HasSuffix(block.Type, blockKeySuffix) {
			continue
		}
		if strings.HasPrefix(block.Type, "ENCRYPTED") || block.Headers["DEK-Info"] != "" {
			return nil, &Error{file, "the key is encrypted", "store it without a password; the router can't ask for one"}
		}
		if key := parseKeyBlock(block.Bytes); key != nil {
			return key, nil
		}
		return nil, &Error{file, "the key can't be read", "write it as PKCS 8, SEC 1 or PKCS 1 in PEM"}
	}
}

// parseKeyBlock returns nil if the block has none of the supported formats. It returns no
// error, because the parsers' errors may quote the private key.
func parseKeyBlock(der []byte) crypto.Signer {
	if key, err := x509.ParsePKCS8PrivateKey(der); err == nil {
		signer, _ := key.(crypto.Signer)
		return signer
	}
	if key, err := x509.ParseECPrivateKey(der); err == nil {
		return key
	}
	if key, err := x509.ParsePKCS1PrivateKey(der); err == nil {
		return key
	}
	return nil
}

// Matches reports whether the private key belongs to the certificate.
func Matches(c *x509.Certificate, key crypto.Signer) bool {
	public, ok := key.Public().(interface{ Equal(crypto.PublicKey) bool })
	return ok && public.Equal(c.PublicKey)
}

func readFile(file string) ([]byte, error) {
	if file == "" {
		return nil, &Error{"(no file)", "no file is named", "name one in the settings"}
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, unreadable(file, err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, unreadable(file, err)
	}
	if len(data) > maxFileBytes {
		return nil, &Error{file, fmt.Sprintf("it is longer than %d bytes", maxFileBytes), "name a PEM file"}
	}
	return data, nil
}

func unreadable(file string, err error) error {
	if pathError, ok := err.(*os.PathError); ok {
		err = pathError.Err
	}
	return &Error{file, err.Error(), "name a file that the router's user may read"}
}
