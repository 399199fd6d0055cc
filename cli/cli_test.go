package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func runCommand(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var o, e bytes.Buffer
	code = run(context.Background(), append([]string{"magnoliausher"}, args...), &o, &e)
	return code, o.String(), e.String()
}

// Guards against an invalid settings file for which the command exits 0 or prints
// only some of the findings.
func TestCheckSettingsExitCodes(t *testing.T) {
	directory := t.TempDir()
	good := filepath.Join(directory, "agent.ini")
	bad := filepath.Join(directory, "bad.ini")
	writeFile(t, good, "[instance]\nrole=agent\nid=a\ndata_centre=d\nlisten=127.0.0.1:1\n[upstream]\naddress=127.0.0.1:2\nservice=s\n")
	writeFile(t, bad, "[instance]\nrole=agent\nid=a\n")
	if code, _, e := runCommand(t, "check-settings", good); code != ExitOK {
		t.Errorf("good file: exit %d: %s", code, e)
	}
	code, _, e := runCommand(t, "check-settings", bad)
	if code != ExitInvalidInput || strings.Count(strings.TrimSpace(e), "\n") < 3 {
		t.Errorf("bad file: exit %d: %s", code, e)
	}
	if code, _, _ := runCommand(t, "check-settings"); code != ExitInvalidInput {
		t.Errorf("no file: exit %d", code)
	}
}

// Guards against key files that cannot be loaded again or that other users can
// read.
func TestKeysMakeUsableCertificates(t *testing.T) {
	directory := t.TempDir()
	if code, _, e := runCommand(t, "keys", "authority", "--directory", directory); code != ExitOK {
		t.Fatalf("authority: exit %d: %s", code, e)
	}
	code, _, e := runCommand(t, "keys", "instance", "--directory", directory, "--id", "entry-1", "--address", "127.0.0.1")
	if code != ExitOK {
		t.Fatalf("instance: exit %d: %s", code, e)
	}
	info, err := os.Stat(filepath.Join(directory, "entry-1.key"))
	if err != nil {
		t.Fatal(err)
	}
	if info.Mode().Perm() != keyFileMode {
		t.Errorf("key file mode %v", info.Mode().Perm())
	}
}

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
