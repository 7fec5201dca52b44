package soak

import (
	"os/exec"
	"syscall"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a soak that starts crashed processes again and says nothing of it.
func TestTheCheckerFindsProcessesThatEndByThemselves(t *testing.T) {
	for name, c := range map[string]struct {
		script string
		signal syscall.Signal
		broken int
	}{
		"killed":                 {"exec sleep 60", syscall.SIGKILL, 0},
		"terminated at once":     {"exec sleep 60", syscall.SIGTERM, 0},
		"crashed before SIGKILL": {"exit 2", syscall.SIGKILL, 1},
		"crashed before SIGTERM": {"exit 2", syscall.SIGTERM, 1},
		"ended before SIGKILL":   {"exit 0", syscall.SIGKILL, 1},
		"aborted":                {"kill -ABRT $$", syscall.SIGTERM, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			cmd := exec.Command("sh", "-c", "echo; exec 2>/dev/null; "+c.script)
			output, err := cmd.StdoutPipe()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(cmd.Start()).To(gomega.Succeed())
			_, err = output.Read(make([]byte, 1))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			v := &vm{name: "vm0", cmd: cmd}
			if c.broken > 0 {
				_, _ = output.Read(make([]byte, 1)) // until the process has ended
			}
			v.stop(c.signal)
			r := newRun(Options{})
			r.vms = []*vm{v}
			r.checkProcesses()
			g.Expect(r.checker.violations).To(gomega.HaveLen(c.broken))
		})
	}
}
