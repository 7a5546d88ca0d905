package command

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/lacewingslip/lacewingslip/settings"
)

type keyReport struct {
	PublicKey string `json:"publicKey"`
	File      string `json:"file"`
}

func generateKey(_ context.Context, c *cli.Command) (err error) {
	name, err := oneArgument(c, "a file")
	if err != nil {
		return err
	}
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	text, err := settings.FormatPrivateKey(private)
	if err != nil {
		return err
	}
	// O_EXCL: an existing file may hold the only copy of a key in use.
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, errWrite := file.Write(text)
	if err := errors.Join(errWrite, file.Close()); err != nil {
		return err
	}
	report := keyReport{PublicKey: settings.FormatPublicKey(public), File: name}
	return writeReport(c, report, func(w io.Writer) { _, _ = fmt.Fprintln(w, report.PublicKey) })
}

func signSettings(_ context.Context, c *cli.Command) error {
	name, err := oneArgument(c, "a file")
	if err != nil {
		return err
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	change, err := signFile(settings.File{Name: name, Text: text}, c.Int64("base"), c.String("key"))
	if err != nil {
		return err
	}
	data, err := change.Encode()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s\n", data)
	return err
}
