package e2e

import (
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/internal/loopback"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
)

// SetPlatformAddresses sets free addresses of the IP address for a node on the users' platform.
func SetPlatformAddresses(settings *nodeconfig.Config, ip string) (err error) {
	defer func() { err = eris.Wrapf(err, "addresses of %s", ip) }()
	free, err := loopback.FreeAddresses(ip, 5)
	if err != nil {
		return err
	}
	_, text, err := net.SplitHostPort(free[4])
	if err != nil {
		return err
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return err
	}
	settings.IP, settings.FirstPort, settings.LastPort = ip, port, port
	settings.Listen = nodeconfig.Listen{Caller: free[0], Peer: free[1], Ready: free[2], Announce: free[3]}
	return nil
}

// StartPlatformNode starts a node on the users' platform. Its settings file is written to the
// directory, and its output to the writer, which may be nil.
func StartPlatformNode(binaries Binaries, directory string, settings nodeconfig.Config, output io.Writer) (p *Process, err error) {
	defer func() { err = eris.Wrapf(err, "start node %s", settings.Node) }()
	path := filepath.Join(directory, settings.Node+".conf")
	if err = os.WriteFile(path, operator.Settings(settings), 0o600); err != nil {
		return nil, err
	}
	command := exec.Command(binaries.Node(), "platform")
	command.Env = append(os.Environ(), operator.SettingsVariable+"="+path)
	if output != nil {
		command.Stdout, command.Stderr = output, output
	}
	return StartProcess(command)
}
