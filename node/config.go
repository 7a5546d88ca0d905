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

// Config is the configuration of one node process, read from its node file: where
// it runs, and the addresses that it listens on and connects to. Everything that
// applies to the whole organisation is in the settings tree.
type Config struct {
	node          string
	region        string
	zone          string
	listen        listenAddresses
	seeds         []string
	log           string
	rootPublicKey ed25519.PublicKey
	stopDeadline  time.Duration
	stopDelay     time.Duration
}

// listenAddresses are the host:port addresses that a node listens on.
type listenAddresses struct {
	Caller   string `yaml:"caller"`
	Backend  string `yaml:"backend"`
	Peer     string `yaml:"peer"`
	Operator string `yaml:"operator"`
}

// configYAML is the YAML encoding of a [Config].
type configYAML struct {
	Node             string          `yaml:"node"`
	Region           string          `yaml:"region"`
	AvailabilityZone string          `yaml:"availabilityZone"`
	Listen           listenAddresses `yaml:"listen"`
	Seeds            []string        `yaml:"seeds"`
	Log              string          `yaml:"log"`
	RootPublicKey    string          `yaml:"rootPublicKey"`
	StopDeadline     string          `yaml:"stopDeadline"`
	StopDelay        string          `yaml:"stopDelay"`
}

const (
	defaultStopDeadline = 30 * time.Second
	defaultStopDelay    = 500 * time.Millisecond
	maxStopDeadline     = time.Hour
	// maxFileBytes bounds the size of a node file.
	maxFileBytes = 64 << 10
)

// ReadFile reads and checks a node file.
func ReadFile(path string) (config Config, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("node file %s: %w", path, err)
		}
	}()
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	return ParseFile(text)
}

// ParseFile parses and checks the text of a node file. Unknown keys are errors.
func ParseFile(text []byte) (config Config, err error) {
	if len(text) > maxFileBytes {
		return Config{}, fmt.Errorf("the text is larger than the maximum of %d bytes", maxFileBytes)
	}
	var body configYAML
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err = decoder.Decode(&body); err != nil && !errors.Is(err, io.EOF) {
		return Config{}, err
	}
	config = Config{
		node: body.Node, region: body.Region, zone: body.AvailabilityZone, listen: body.Listen,
		seeds: body.Seeds, log: body.Log,
	}
	return config, errors.Join(
		checkRequired("node", body.Node),
		checkRequired("region", body.Region),
		checkRequired("availabilityZone", body.AvailabilityZone),
		checkAddress("listen.caller", body.Listen.Caller),
		checkAddress("listen.backend", body.Listen.Backend),
		checkAddress("listen.peer", body.Listen.Peer),
		checkAddress("listen.operator", body.Listen.Operator),
		checkAddresses("seeds", body.Seeds),
		checkAddress("log", body.Log),
		config.setRootPublicKey(body.RootPublicKey),
		parseDuration("stopDeadline", body.StopDeadline, defaultStopDeadline, &config.stopDeadline),
		parseDuration("stopDelay", body.StopDelay, defaultStopDelay, &config.stopDelay),
	)
}

// Node returns the ID of the node, which does not change on a restart.
func (c Config) Node() string { return c.node }

// Region returns the region that the node runs in.
func (c Config) Region() string { return c.region }

// AvailabilityZone returns the availability zone that the node runs in.
func (c Config) AvailabilityZone() string { return c.zone }

// StopDeadline returns the maximum time that a planned stop waits for calls in
// progress.
func (c Config) StopDeadline() time.Duration { return c.stopDeadline }

func (c *Config) setRootPublicKey(text string) (err error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return fmt.Errorf("rootPublicKey: expected the base64 text of an ed25519 public key, which `lacewingslip settings keygen` prints")
	}
	c.rootPublicKey = key
	return nil
}

func checkRequired(key, value string) (err error) {
	if value == "" {
		return fmt.Errorf("%s: missing", key)
	}
	return nil
}

func checkAddress(key, value string) (err error) {
	if _, _, err = net.SplitHostPort(value); err != nil {
		return fmt.Errorf("%s: expected host:port, got %q", key, value)
	}
	return nil
}

func checkAddresses(key string, values []string) (err error) {
	for i, value := range values {
		err = errors.Join(err, checkAddress(fmt.Sprintf("%s[%d]", key, i), value))
	}
	return err
}

func parseDuration(key, text string, defaultValue time.Duration, value *time.Duration) (err error) {
	if text == "" {
		*value = defaultValue
		return nil
	}
	*value, err = time.ParseDuration(text)
	if err != nil || *value < 0 || *value > maxStopDeadline {
		return fmt.Errorf("%s: expected a duration from 0s to %s such as 30s, got %q", key, maxStopDeadline, text)
	}
	return nil
}
