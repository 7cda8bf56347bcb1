package process

import (
	"net/http"

	"connectrpc.com/connect"

	"ebonyreel/access"
	"ebonyreel/settings"
	"ebonyreel/transport"
)

// Security holds what a process needs to authenticate itself to other processes
// and to check who calls it.
type Security struct {
	// Certificates is nil when TLS is not used.
	Certificates *transport.Certificates
	// Client is the HTTP client for calls to other processes.
	Client *http.Client
	// AddKey adds the key of the process to its own calls. CheckKey refuses calls of
	// others that carry no key with access to the called procedure.
	AddKey   connect.Interceptor
	CheckKey connect.Interceptor
	// Table lists the key holders whose calls CheckKey accepts, and counts the calls
	// that it refused.
	Table *access.Table
}

// OpenSecurity reads the certificate and key files that the settings name.
func OpenSecurity(s settings.Security) (*Security, error) {
	c, err := transport.OpenCertificates(s.CertificateFiles())
	if err != nil {
		return nil, err
	}
	f, err := access.OpenKeyFile(s.KeyFile)
	if err != nil {
		return nil, err
	}
	t := access.NewTable(s.Processes, s.Operators)
	return &Security{
		Certificates: c,
		Client:       transport.NewSecureClient(c),
		AddKey:       access.ClientInterceptor(f),
		CheckKey:     t.ServerInterceptor(),
		Table:        t,
	}, nil
}

// NewClient returns a new HTTP client that shares no connections with others,
// for calls whose connection may have to be replaced.
func (s *Security) NewClient() *http.Client {
	return transport.NewSecureClient(s.Certificates)
}
