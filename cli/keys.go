package cli

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/keys"
)

const (
	day               = 24 * time.Hour
	keyFileMode       = 0o600
	certFileMode      = 0o644
	authorityName     = "authority"
	certificateSuffix = ".crt"
	keySuffix         = ".key"
)

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "generate caller keys and certificates for TLS between instances",
		Commands: []*cli.Command{
			{
				Name:   "caller",
				Usage:  "print a new caller key and its hash for the sheet",
				Action: newCallerKey,
			},
			{
				Name:  "authority",
				Usage: "write authority.crt and authority.key",
				Flags: []cli.Flag{directoryFlag(), daysFlag(3650)},
				Action: func(_ context.Context, c *cli.Command) error {
					pair, err := keys.NewCA(time.Now(), validity(c))
					if err != nil {
						return trace.Wrap(err)
					}
					return writePair(c.String("directory"), authorityName, pair)
				},
			},
			{
				Name:  "instance",
				Usage: "write the certificate and key of one instance, signed by the authority",
				Flags: []cli.Flag{
					directoryFlag(), daysFlag(90),
					&cli.StringFlag{Name: "id", Required: true, Usage: "the instance's id"},
					&cli.StringSliceFlag{Name: "address", Required: true, Usage: "IP address of the instance; may be repeated"},
				},
				Action: newInstanceCertificate,
			},
		},
	}
}

func directoryFlag() cli.Flag {
	return &cli.StringFlag{Name: "directory", Value: ".", Usage: "directory of the key files"}
}

func daysFlag(days int) cli.Flag {
	return &cli.IntFlag{Name: "days", Value: days, Usage: "validity in days"}
}

func validity(c *cli.Command) time.Duration {
	return time.Duration(c.Int("days")) * day
}

func newCallerKey(_ context.Context, c *cli.Command) error {
	key := keys.NewCallerKey()
	_, err := fmt.Fprintf(c.Root().Writer, "key         %s\nkey_sha256  %s\n", key, contract.HashKey(key))
	return err
}

func newInstanceCertificate(_ context.Context, c *cli.Command) error {
	directory := c.String("directory")
	authority, err := readPair(directory, authorityName)
	if err != nil {
		return err
	}
	var addresses []net.IP
	for _, text := range c.StringSlice("address") {
		ip := net.ParseIP(text)
		if ip == nil {
			return usageError{fmt.Sprintf("%q is not an IP address", text)}
		}
		addresses = append(addresses, ip)
	}
	id := c.String("id")
	pair, err := keys.NewInstanceCertificate(authority, id, addresses, time.Now(), validity(c))
	if err != nil {
		return trace.Wrap(err)
	}
	return writePair(directory, id, pair)
}

func readPair(directory, name string) (keys.CertKeyPair, error) {
	certificate, err := os.ReadFile(filepath.Join(directory, name+certificateSuffix))
	if err != nil {
		return keys.CertKeyPair{}, trace.ConvertSystemError(err)
	}
	key, err := os.ReadFile(filepath.Join(directory, name+keySuffix))
	if err != nil {
		return keys.CertKeyPair{}, trace.ConvertSystemError(err)
	}
	return keys.CertKeyPair{Certificate: certificate, Key: key}, nil
}

func writePair(directory, name string, pair keys.CertKeyPair) error {
	base := filepath.Join(directory, name)
	if err := os.WriteFile(base+certificateSuffix, pair.Certificate, certFileMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(os.WriteFile(base+keySuffix, pair.Key, keyFileMode))
}
