package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/lacewingslip/lacewingslip/call"
)

// File is a named experiment: services with backend servers, load, and the trigger of
// an overload.
type File struct {
	Name string `yaml:"name"`
	// Seed determines the service times. The load does not depend on it, as
	// requests are evenly spaced.
	Seed uint64 `yaml:"seed"`
	// Contestants holds names from [Contestants], in the order in which they run.
	Contestants []string `yaml:"contestants"`
	// Regions holds the names of the regions. Each has two availability zones.
	Regions []string `yaml:"regions"`
	// Timeout is the deadline of a caller's request, including its retries.
	Timeout time.Duration `yaml:"timeout"`
	// AttemptTimeout is the time after which a caller cancels an attempt and makes
	// the next one. Zero means no limit.
	AttemptTimeout time.Duration `yaml:"attemptTimeout"`
	// CallerRetries is the maximum number of retries of a request by its caller, and
	// BackendRetries that of a child call by a backend server.
	CallerRetries  int                    `yaml:"callerRetries"`
	BackendRetries int                    `yaml:"backendRetries"`
	Services       map[string]ServiceSpec `yaml:"services"`
	// Chain adds the services s01, s02 and so on, each of which calls the next.
	Chain   *Chain         `yaml:"chain"`
	Classes []RequestClass `yaml:"classes"`
	Phases  []LoadPhase    `yaml:"phases"`
	// Surges holds the values for the load of phases with surge: true. Each
	// contestant runs once for each value.
	Surges []float64 `yaml:"surges"`
	// Capacity names the service whose slots limit the capacity.
	Capacity string `yaml:"capacity"`
}

// ServiceSpec describes the backend servers of a service.
type ServiceSpec struct {
	// PerZone is the number of backend servers in each availability zone.
	PerZone int `yaml:"perZone"`
	// Slots is the number of calls that one backend server runs concurrently, and
	// Connections the number of calls that it accepts, queued calls included.
	Slots       int `yaml:"slots"`
	Connections int `yaml:"connections"`
	// ServiceTime is the mean service time of a call without its child calls. It is
	// uniformly distributed between 50% and 150% of the mean.
	ServiceTime time.Duration `yaml:"serviceTime"`
	// ColdTime is the time after its start for which a backend server needs twice
	// the service time.
	ColdTime time.Duration `yaml:"coldTime"`
	// Answer is the minimum size of an answer in bytes.
	Answer int `yaml:"answer"`
	// Children holds the services that each call calls, one after the other.
	Children []string `yaml:"children"`
}

// Chain describes a chain of services. Last is the one that calls no other.
type Chain struct {
	Depth int         `yaml:"depth"`
	Each  ServiceSpec `yaml:"each"`
	Last  ServiceSpec `yaml:"last"`
}

// RequestClass is a class of customer requests.
type RequestClass struct {
	Name       string `yaml:"name"`
	Service    string `yaml:"service"`
	Importance string `yaml:"importance"`
	Weight     int    `yaml:"weight"`
	// Booking marks requests that must run at most once.
	Booking bool `yaml:"booking"`
}

// LoadPhase is a part of a run with a constant load.
type LoadPhase struct {
	Name     string        `yaml:"name"`
	Duration time.Duration `yaml:"duration"`
	// Load is the request rate relative to the capacity. If Surge is true, a value
	// of Surges replaces it.
	Load  float64 `yaml:"load"`
	Surge bool    `yaml:"surge"`
	// Slow holds factors for the service times of services.
	Slow map[string]float64 `yaml:"slow"`
}

// LoadFile reads and validates an experiment file.
func LoadFile(path string) (f *File, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("experiment file %s: %w", path, err)
		}
	}()
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f = &File{}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(f); err != nil {
		return nil, err
	}
	f.expand()
	if err := f.validate(); err != nil {
		return nil, err
	}
	return f, nil
}

// expand adds the services of the chain and sets defaults.
func (f *File) expand() {
	if f.Services == nil {
		f.Services = make(map[string]ServiceSpec)
	}
	if f.Chain != nil {
		for i := 1; i < f.Chain.Depth; i++ {
			link := f.Chain.Each
			link.Children = []string{chainServiceName(i + 1)}
			f.Services[chainServiceName(i)] = link
		}
		f.Services[chainServiceName(f.Chain.Depth)] = f.Chain.Last
	}
	for name, b := range f.Services {
		b.PerZone = max(b.PerZone, 1)
		b.Connections = max(b.Connections, 8*b.Slots)
		f.Services[name] = b
	}
	if len(f.Surges) == 0 {
		f.Surges = []float64{1}
	}
}

func chainServiceName(i int) string { return fmt.Sprintf("s%02d", i) }

func (f *File) validate() error {
	if f.Name == "" || len(f.Regions) == 0 || len(f.Phases) < 2 || len(f.Classes) == 0 || f.Timeout <= 0 {
		return errors.New("name, timeout, regions, classes and at least two phases are required")
	}
	for _, name := range f.Contestants {
		if _, ok := contestants[name]; !ok {
			return fmt.Errorf("contestant %q is not one of %v", name, Contestants())
		}
	}
	for name, b := range f.Services {
		for _, child := range b.Children {
			if err := f.requireService(child); err != nil {
				return fmt.Errorf("children of %s: %w", name, err)
			}
		}
	}
	for _, class := range f.Classes {
		if err := f.requireService(class.Service); err != nil {
			return fmt.Errorf("class %s: %w", class.Name, err)
		}
		if _, err := call.ParseImportance(class.Importance); err != nil {
			return fmt.Errorf("class %s: %w", class.Name, err)
		}
	}
	return f.requireService(f.Capacity)
}

func (f *File) requireService(service string) error {
	if _, ok := f.Services[service]; !ok {
		return fmt.Errorf("service %q is not defined under services", service)
	}
	return nil
}
