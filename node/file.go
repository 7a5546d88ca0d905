package node

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"gopkg.in/yaml.v3"
)

// File is the settings of one process: where it runs and whom it talks to.
// Everything that the whole organisation shares is in the settings tree.
type File struct {
	node          string
	region        string
	zone          string
	listen        listen
	seeds         []string
	log           string
	rootPublicKey ed25519.PublicKey
	stopDeadline  time.Duration
	stopDelay     time.Duration
}

// listen holds the addresses that a node listens on, as host:port.
type listen struct {
	Caller   string `yaml:"caller"`
	Backend  string `yaml:"backend"`
	Peer     string `yaml:"peer"`
	Operator string `yaml:"operator"`
}

// fileBody is the YAML form of a [File].
type fileBody struct {
	Node             string   `yaml:"node"`
	Region           string   `yaml:"region"`
	AvailabilityZone string   `yaml:"availabilityZone"`
	Listen           listen   `yaml:"listen"`
	Seeds            []string `yaml:"seeds"`
	Log              string   `yaml:"log"`
	RootPublicKey    string   `yaml:"rootPublicKey"`
	StopDeadline     string   `yaml:"stopDeadline"`
	StopDelay        string   `yaml:"stopDelay"`
}

const (
	defaultStopDeadline = 30 * time.Second
	defaultStopDelay    = 500 * time.Millisecond
	maxStopDeadline     = time.Hour
	// maxFileBytes bounds the size of a node file.
	maxFileBytes = 64 << 10
)

// ReadFile reads and checks a node file.
func ReadFile(path string) (f File, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("node file %s: %w", path, err)
		}
	}()
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, err
	}
	return ParseFile(text)
}

// ParseFile checks the text of a node file. Unknown keys are errors.
func ParseFile(text []byte) (f File, err error) {
	if len(text) > maxFileBytes {
		return File{}, fmt.Errorf("larger than %d bytes", maxFileBytes)
	}
	var body fileBody
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err = decoder.Decode(&body); err != nil && !errors.Is(err, io.EOF) {
		return File{}, err
	}
	f = File{
		node: body.Node, region: body.Region, zone: body.AvailabilityZone, listen: body.Listen,
		seeds: body.Seeds, log: body.Log,
	}
	return f, errors.Join(
		required("node", body.Node),
		required("region", body.Region),
		required("availabilityZone", body.AvailabilityZone),
		address("listen.caller", body.Listen.Caller),
		address("listen.backend", body.Listen.Backend),
		address("listen.peer", body.Listen.Peer),
		address("listen.operator", body.Listen.Operator),
		addresses("seeds", body.Seeds),
		address("log", body.Log),
		f.parseKey(body.RootPublicKey),
		duration("stopDeadline", body.StopDeadline, defaultStopDeadline, &f.stopDeadline),
		duration("stopDelay", body.StopDelay, defaultStopDelay, &f.stopDelay),
	)
}

// Node returns the ID of the node, which stays the same over restarts.
func (f File) Node() string { return f.node }

// Region returns the region that the node runs in.
func (f File) Region() string { return f.region }

// AvailabilityZone returns the availability zone that the node runs in.
func (f File) AvailabilityZone() string { return f.zone }

// StopDeadline returns how long a planned stop waits for calls in progress.
func (f File) StopDeadline() time.Duration { return f.stopDeadline }

func (f *File) parseKey(text string) (err error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return fmt.Errorf("rootPublicKey: expected the base64 text of an ed25519 public key, which `lacewingslip settings keygen` prints")
	}
	f.rootPublicKey = key
	return nil
}

func required(key, value string) (err error) {
	if value == "" {
		return fmt.Errorf("%s: missing", key)
	}
	return nil
}

func address(key, value string) (err error) {
	if _, _, err = net.SplitHostPort(value); err != nil {
		return fmt.Errorf("%s: expected host:port, got %q", key, value)
	}
	return nil
}

func addresses(key string, values []string) (err error) {
	for i, value := range values {
		err = errors.Join(err, address(fmt.Sprintf("%s[%d]", key, i), value))
	}
	return err
}

func duration(key, text string, absent time.Duration, value *time.Duration) (err error) {
	if text == "" {
		*value = absent
		return nil
	}
	*value, err = time.ParseDuration(text)
	if err != nil || *value < 0 || *value > maxStopDeadline {
		return fmt.Errorf("%s: expected a duration from 0s to %s such as 30s, got %q", key, maxStopDeadline, text)
	}
	return nil
}
