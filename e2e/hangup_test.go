package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/platform"
)

// Guards against a gateway that is terminated by SIGHUP, which makes it reload its
// settings, because the signal arrives while it starts.
func TestSIGHUPWhileGatewayStarts(t *testing.T) {
	file := filepath.Join(t.TempDir(), "gateway.ini")
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary(t), "gateway")
	cmd.Env = append(os.Environ(), runEnvironment+"=1", platform.SettingsVariable+"="+file)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	settings, err := os.OpenFile(file, os.O_WRONLY, 0) // blocks until the gateway opens its settings
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if err := settings.Close(); err != nil {
		t.Fatal(err)
	}
	// Empty settings are an error: the gateway must exit by itself to report it.
	if err := cmd.Wait(); err == nil || !cmd.ProcessState.Exited() {
		t.Errorf("terminated by a signal: %v", cmd.ProcessState)
	}
}
