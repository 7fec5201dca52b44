package main

import (
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"cicadaslip/platform"
)

// Guards against a process that is ended by a signal which arrives while it starts: SIGHUP
// must not end it at all, and SIGTERM must not skip the drain of callers that have connected.
func TestSignalsAreHandledWhileTheProcessStarts(t *testing.T) {
	g := gomega.NewWithT(t)
	// A process inherits that its parent ignores SIGHUP, as under nohup, but not a handler.
	handled := make(chan os.Signal, 1)
	signal.Notify(handled, syscall.SIGHUP)
	defer signal.Stop(handled)
	program := filepath.Join(t.TempDir(), "cicadaslipd")
	output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	g.Expect(err).NotTo(gomega.HaveOccurred(), string(output))
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		t.Run(s.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			path := filepath.Join(t.TempDir(), "settings")
			g.Expect(syscall.Mkfifo(path, 0o600)).To(gomega.Succeed())
			cmd := exec.Command(program, "--edge")
			cmd.Env = append(os.Environ(), platform.SettingsPathVariable+"="+path)
			g.Expect(cmd.Start()).To(gomega.Succeed())
			settings, err := os.OpenFile(path, os.O_WRONLY, 0) // once the process reads
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(cmd.Process.Signal(s)).To(gomega.Succeed())
			_, err = settings.WriteString("invalid")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(settings.Close()).To(gomega.Succeed())
			g.Expect(cmd.Wait()).To(gomega.HaveOccurred())
			g.Expect(cmd.ProcessState.ExitCode()).To(gomega.Equal(exitFailure), cmd.ProcessState.String())
		})
	}
}

// Guards against a second SIGTERM, or a SIGHUP, that ends a process which drains.
func TestFurtherSignalsDoNotEndADrain(t *testing.T) {
	g := gomega.NewWithT(t)
	signals, stop := make(chan os.Signal), make(chan struct{})
	defer close(signals)
	go handleSignals(zerolog.Nop(), filepath.Join(t.TempDir(), "none"), signals, stop)
	for _, s := range []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		g.Eventually(signals).Should(gomega.BeSent(s)) // once the one before has been handled
	}
	g.Expect(stop).To(gomega.BeClosed())
}
