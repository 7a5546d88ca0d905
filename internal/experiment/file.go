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

// File is a named experiment: backend servers, load, and the cause of an
// overload.
type File struct {
	Name string `yaml:"name"`
	// Seed determines service times. The load is evenly spaced.
	Seed uint64 `yaml:"seed"`
	// Contestants are names from [Contestants], in the order in which they run.
	Contestants []string `yaml:"contestants"`
	// Regions are names. Each has two availability zones.
	Regions []string `yaml:"regions"`
	// Timeout is that of a caller's request.
	Timeout time.Duration `yaml:"timeout"`
	// AttemptTimeout is when a caller gives up one attempt and makes the next.
	AttemptTimeout time.Duration `yaml:"attemptTimeout"`
	// CallerRetries is how often a caller sends a failed request again, and
	// BackendRetries how often a backend server repeats a failed child call.
	CallerRetries  int                 `yaml:"callerRetries"`
	BackendRetries int                 `yaml:"backendRetries"`
	Services       map[string]Backends `yaml:"services"`
	// Chain adds the services s01, s02 and so on, each calling the next.
	Chain   *Chain         `yaml:"chain"`
	Classes []RequestClass `yaml:"classes"`
	Phases  []LoadPhase    `yaml:"phases"`
	// Surges are values for the load of phases with surge: true. The experiment
	// is run once for each.
	Surges []float64 `yaml:"surges"`
	// Capacity names the service whose slots bound the capacity.
	Capacity string `yaml:"capacity"`
}

// Backends describes the backend servers of a service.
type Backends struct {
	// PerZone is the number of backend servers in each availability zone.
	PerZone int `yaml:"perZone"`
	// Slots is the number of calls that one backend server runs at once, and
	// Connections that of calls it accepts.
	Slots       int `yaml:"slots"`
	Connections int `yaml:"connections"`
	// ServiceTime is the mean own time of a call. It varies by half of it.
	ServiceTime time.Duration `yaml:"serviceTime"`
	// ColdTime is how long a new backend server needs twice the service time.
	ColdTime time.Duration `yaml:"coldTime"`
	// Answer is the size of an answer in bytes.
	Answer int `yaml:"answer"`
	// Children are the services that each call calls, one after the other.
	Children []string `yaml:"children"`
}

// Chain is a row of services.
type Chain struct {
	Depth int      `yaml:"depth"`
	Each  Backends `yaml:"each"`
	Last  Backends `yaml:"last"`
}

// RequestClass is a kind of customer request.
type RequestClass struct {
	Name       string `yaml:"name"`
	Service    string `yaml:"service"`
	Importance string `yaml:"importance"`
	Weight     int    `yaml:"weight"`
	// Booking marks requests that must not be repeated.
	Booking bool `yaml:"booking"`
}

// LoadPhase is a part of the run.
type LoadPhase struct {
	Name     string        `yaml:"name"`
	Duration time.Duration `yaml:"duration"`
	// Load is relative to capacity. It is replaced if Surge is true.
	Load  float64 `yaml:"load"`
	Surge bool    `yaml:"surge"`
	// Slow multiplies the service times of services.
	Slow map[string]float64 `yaml:"slow"`
}

// LoadFile reads and checks an experiment file.
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
	if err := f.check(); err != nil {
		return nil, err
	}
	return f, nil
}

func (f *File) expand() {
	if f.Services == nil {
		f.Services = make(map[string]Backends)
	}
	if f.Chain != nil {
		for i := 1; i < f.Chain.Depth; i++ {
			link := f.Chain.Each
			link.Children = []string{chainName(i + 1)}
			f.Services[chainName(i)] = link
		}
		f.Services[chainName(f.Chain.Depth)] = f.Chain.Last
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

func chainName(i int) string { return fmt.Sprintf("s%02d", i) }

func (f *File) check() error {
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
			if err := f.known(child); err != nil {
				return fmt.Errorf("children of %s: %w", name, err)
			}
		}
	}
	for _, class := range f.Classes {
		if err := f.known(class.Service); err != nil {
			return fmt.Errorf("class %s: %w", class.Name, err)
		}
		if _, err := call.ParseImportance(class.Importance); err != nil {
			return fmt.Errorf("class %s: %w", class.Name, err)
		}
	}
	return f.known(f.Capacity)
}

func (f *File) known(service string) error {
	if _, ok := f.Services[service]; !ok {
		return fmt.Errorf("service %q is not described", service)
	}
	return nil
}
