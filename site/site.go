// Package site holds what a process knows from its settings when it starts: its
// place, its addresses, its share of the machine, and the bounds that it must
// keep.
//
// # Usage
//
// An adapter fills a [Site] from the platform's settings, and the node is built
// from it:
//
//	s, err := platform.ReadSettings()
//	n, err := mesh.New(s)
package site

import (
	"time"

	"github.com/rotisserie/eris"
)

// Site is what the settings of a process say. It is read once and passed on by
// value; its fields are plain because nothing derives from them here.
type Site struct {
	// Node is the name of this process's VM, unique in the deployment.
	Node string
	// Region and Zone are where the VM runs.
	Region, Zone string
	// IP is the VM's own address.
	IP string
	// Service and Backend are the service of the backend server beside this
	// process, and its address.
	Service, Backend string
	// RegionOf has the region of each availability zone.
	RegionOf map[string]string
	// Listen has the addresses that this process serves.
	Listen Listen
	// FirstPort and LastPort bound the ports for traffic between nodes.
	FirstPort, LastPort int
	// Log is the address of the platform's log service.
	Log string
	// MemoryBytes and Descriptors are what the process may use.
	MemoryBytes int64
	Descriptors int
	// AnnounceInterval is the usual time between two announcements of the
	// backend server.
	AnnounceInterval time.Duration
	Bounds           Bounds
}

// Listen has the addresses that a process serves.
type Listen struct {
	// Caller is for callers on this VM, the backend server among them.
	Caller string
	// Peer is for calls from other nodes.
	Peer string
	// Advertised is the address that other nodes are told instead of Peer, where
	// something stands between them. It is usually empty.
	Advertised string
	// Ready is for the platform's readiness probe.
	Ready string
	// Announce is for announcements of the backend server.
	Announce string
}

// Bounds are times and shares that the deployment promises to its users.
type Bounds struct {
	// Drain is how long requests may still reach a backend server after its
	// leaving was acknowledged.
	Drain time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// ConfigApply is how soon a new desired state is in force everywhere.
	ConfigApply time.Duration
	// RetryRatio is the share of a service's requests that may be sent again
	// within RetryWindow, and RetrySlack a number that may be sent on top, both
	// over all nodes together.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
}

// Check returns what is missing for a process to run.
func (s Site) Check() (err error) {
	for _, required := range []struct{ name, value string }{
		{"node name", s.Node},
		{"region", s.Region},
		{"availability zone", s.Zone},
		{"service of the backend server", s.Service},
		{"address of the backend server", s.Backend},
		{"address for callers", s.Listen.Caller},
		{"address for other nodes", s.Listen.Peer},
		{"address for the readiness probe", s.Listen.Ready},
		{"address for announcements", s.Listen.Announce},
		{"address of the log service", s.Log},
	} {
		if required.value == "" {
			return eris.Errorf("the settings give no %s", required.name)
		}
	}
	if s.FirstPort <= 0 || s.LastPort < s.FirstPort {
		return eris.Errorf("the ports %d to %d for traffic between nodes are not a range", s.FirstPort, s.LastPort)
	}
	return nil
}
