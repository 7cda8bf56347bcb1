package process

import (
	"net/http"

	"connectrpc.com/connect"

	"ebonyreel/access"
	"ebonyreel/settings"
	"ebonyreel/transport"
)

// Security is what a process needs to show who it is and to check who calls.
type Security struct {
	// Certificates is nil where TLS is not used.
	Certificates *transport.Certificates
	// Client calls other processes.
	Client *http.Client
	// Show adds the process's key to its calls, and Check refuses calls
	// without the right key.
	Show  connect.Interceptor
	Check connect.Interceptor
	// Table is behind Check.
	Table *access.Table
}

// OpenSecurity reads the files that the settings name.
func OpenSecurity(s settings.Security) (*Security, error) {
	c, err := transport.OpenCertificates(s.CertificateFiles())
	if err != nil {
		return nil, err
	}
	f, err := access.OpenFile(s.KeyFile)
	if err != nil {
		return nil, err
	}
	t := access.NewTable(s.Processes, s.Operators)
	return &Security{
		Certificates: c,
		Client:       transport.NewSecureClient(c),
		Show:         access.Show(f),
		Check:        t.Interceptor(),
		Table:        t,
	}, nil
}

// NewClient returns a client without connections, for calls whose connection
// may have to be replaced.
func (s *Security) NewClient() *http.Client {
	return transport.NewSecureClient(s.Certificates)
}
