// Package settings reads the JSON settings file of a process and checks all of
// it before the process starts anything.
package settings

import (
	"net/netip"

	"ebonyreel/access"
	"ebonyreel/document"
	"ebonyreel/faults"
	"ebonyreel/transport"
)

// Entry holds the settings of an entry.
type Entry struct {
	// Name is unique among the processes of an environment.
	Name          string
	Environment   string
	FailureDomain string
	// Callers is the address on which the entry serves callers.
	Callers netip.AddrPort
	// Operators is the address for status, metrics, readiness and drain.
	Operators netip.AddrPort
	// Metrics is an optional additional address that serves only metrics.
	Metrics netip.AddrPort `json:",omitzero"`
	// Peers is an optional address on which the entry serves other entries, with the
	// protocol Platform.
	Peers netip.AddrPort `json:",omitzero"`
	// Controls lists the addresses of control hosts; at least one is required.
	Controls []netip.AddrPort
	// Policy is the name of the placement policy.
	Policy string
	// TraceFile is the file to which spans are written as JSON lines. If it is
	// empty, no spans are written.
	TraceFile string
	// Security applies to calls between processes and from operators.
	Security Security `json:",omitzero"`
	// CallersCertificateFile and CallersPrivateKeyFile are PEM files for TLS on
	// the address Callers. Either both are set, or neither, for plain HTTP.
	CallersCertificateFile string
	CallersPrivateKeyFile  string
	// DecisionFile is the file to which a decision record is written for each
	// request, as JSON lines. If it is empty, no records are written.
	DecisionFile string
	// Protocol is the protocol of callers: OpenAI, the default, or Platform.
	Protocol string `json:",omitempty"`
	// RetryBudget bounds the retries that all entries together send to one pool.
	RetryBudget RetryBudget `json:",omitzero"`
	// QuotaTolerance is the excess over the quota of a client account that is tolerated
	// while entries are out of reach of control.
	QuotaTolerance QuotaTolerance `json:",omitzero"`
	// MemoryMegabytes is the memory of the host that the process may use, in
	// mebibytes. Zero means no limit.
	MemoryMegabytes int
}

// RetryBudget bounds retries: within any period of length Window, there may be
// Ratio times as many retries as requests, plus Slack.
type RetryBudget struct {
	Ratio  float64
	Slack  float64
	Window document.Duration
}

// QuotaTolerance is by how much, in the unit of a quota, all entries together may exceed
// it in any period of length Window.
type QuotaTolerance struct {
	Excess float64
	Window document.Duration
}

// The values of Protocol: what callers, endpoints and operators use.
const (
	OpenAI   = "OpenAI"
	Platform = "Platform"
)

// Agent holds the settings of an agent.
type Agent struct {
	// Name is unique among the processes of an environment.
	Name          string
	Environment   string
	FailureDomain string
	// Peers is the address on which the agent serves entries.
	Peers netip.AddrPort
	// Announced is the address at which entries reach Peers. The default is
	// Peers.
	Announced netip.AddrPort
	// Endpoint is the address on which the agent receives the announcements of
	// its endpoint.
	Endpoint netip.AddrPort
	// Operators is the address for metrics.
	Operators netip.AddrPort
	// Metrics is an optional additional address that serves only metrics.
	Metrics netip.AddrPort `json:",omitzero"`
	// Controls lists the addresses of control hosts; at least one is required.
	Controls []netip.AddrPort
	// TraceFile is the file to which spans are written as JSON lines. If it is
	// empty, no spans are written.
	TraceFile string
	// MemoryMegabytes is the memory of the host that the agent may use, in
	// mebibytes. Zero means no limit.
	MemoryMegabytes int `json:",omitempty"`
	// Security applies to calls between processes and from operators.
	Security Security `json:",omitzero"`
}

// Control holds the settings of a control process.
type Control struct {
	// Name is unique among the processes of an environment.
	Name          string
	FailureDomain string
	// Peers is the address on which control serves all other processes.
	Peers netip.AddrPort
	// Operators is the address for metrics.
	Operators netip.AddrPort
	// Metrics is an optional additional address that serves only metrics.
	Metrics netip.AddrPort `json:",omitzero"`
	// DataFolder is the folder for durable state.
	DataFolder string
	// WatchHistory is the number of change events that are kept for watches
	// that resume.
	WatchHistory int
	// Cluster lists all control hosts, including this one, in the same order on
	// each host. If Cluster and Seeds are empty, this host is the only one. When
	// no host has any state yet, the first host of the list begins the log.
	Cluster []ControlHost `json:",omitempty"`
	// Seeds lists addresses of control hosts and replaces Cluster: the hosts
	// discover each other there, and a lost host is replaced by another one
	// without an operator.
	Seeds []netip.AddrPort `json:",omitempty"`
	// Tolerates is the number of hosts that may fail at the same time; it is
	// used with Seeds. There are 2*Tolerates+1 voting hosts.
	Tolerates int
	// Bootstrap allows the first seed to begin the log; it is used with Seeds.
	Bootstrap bool
	// Protocol is an additional protocol of endpoints and operators on the
	// address Peers. OpenAI, the default, adds none to the control service;
	// Platform adds the platform's announcement and configuration handlers.
	Protocol string `json:",omitempty"`
	// Environment is the environment of the endpoints and operators that use
	// the protocol Platform.
	Environment string `json:",omitempty"`
	// OrderPause is how long a new leader waits before it gives orders to
	// endpoints. After this time a former leader gives no more orders.
	OrderPause document.Duration `json:",omitzero"`
	// LearnPaces makes control place streams by how slow each engine is at its tokens,
	// learned from those that it runs. Without it all count as equally fast.
	LearnPaces bool `json:",omitempty"`
	// MemoryMegabytes is the memory of the host that the process may use, in
	// mebibytes. Zero means no limit.
	MemoryMegabytes int
	// Security applies to calls between processes and from operators.
	Security Security `json:",omitzero"`
}

// ControlHost identifies one control host.
type ControlHost struct {
	// Name is the Name in the settings of that host.
	Name string
	// Address is the address Peers of that host.
	Address netip.AddrPort
}

// Security states how a process authenticates itself and which calls it
// accepts. The zero value uses no TLS and accepts every call. All files are
// read again when they change.
type Security struct {
	// CertificateFile, PrivateKeyFile and AuthorityFile are PEM files. Either
	// all are set, or none. The certificate must name the IP addresses of the
	// process.
	CertificateFile string
	PrivateKeyFile  string
	AuthorityFile   string
	// KeyFile is the file with the key that the process sends with its calls.
	KeyFile string
	// Processes and Operators list the key holders whose calls are accepted.
	Processes []access.Holder
	Operators []access.Holder
}

// CertificateFiles returns the files for TLS with other processes and operators.
func (s Security) CertificateFiles() transport.CertificateFiles {
	return transport.CertificateFiles{Certificate: s.CertificateFile, PrivateKey: s.PrivateKeyFile, Authority: s.AuthorityFile}
}

// CallersCertificateFiles returns the files for TLS with callers.
func (s Entry) CallersCertificateFiles() transport.CertificateFiles {
	return transport.CertificateFiles{Certificate: s.CallersCertificateFile, PrivateKey: s.CallersPrivateKeyFile}
}

// CheckError reports all faults of a settings file.
type CheckError struct {
	// File is the path that was read.
	File string
	// Faults has at least one element.
	Faults []faults.Fault
}

// Error lists the faults.
func (e *CheckError) Error() string {
	return e.File + ": " + faults.Join(e.Faults)
}
