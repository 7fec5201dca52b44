package testcluster

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"cicadaslip/internal/errs"
)

// Process is one started program.
type Process struct {
	Name    string
	Address string // the last word of the first output line, for stand-ins
	cmd     *exec.Cmd
	done    chan struct{}
	once    sync.Once
	err     error
}

// start starts a program. When ready is set, it waits for the first output line
// and takes its last word as the address.
func start(binDir, program, name string, logDir string, ready bool, args ...string) (*Process, error) {
	cmd := exec.Command(filepath.Join(binDir, program), args...)
	log, err := os.Create(filepath.Join(logDir, name+".log"))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "create log of "+name)
	}
	cmd.Stderr = log
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "open output of "+name)
	}
	if err := cmd.Start(); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "start "+name)
	}
	reader := bufio.NewReader(stdout)
	if ready {
		line, err := reader.ReadString('\n')
		if err != nil {
			return nil, errs.Wrap(err, errs.Internal, name+" printed no address")
		}
		words := strings.Fields(line)
		p.Address = words[len(words)-1]
	}
	go p.wait(reader, log)
	return p, nil
}

func (p *Process) wait(output io.Reader, log *os.File) {
	_, _ = io.Copy(log, output)
	p.err = p.cmd.Wait()
	_ = log.Close()
	close(p.done)
}

// Signal sends a signal: SIGTERM drains a daemon, SIGSTOP pauses it, SIGCONT
// resumes it, SIGKILL ends it at once.
func (p *Process) Signal(signal syscall.Signal) { _ = p.cmd.Process.Signal(signal) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.once.Do(func() {
		p.Signal(syscall.SIGKILL)
		<-p.done
	})
}

// Wait waits for the end of the process and returns its exit code.
func (p *Process) Wait() int {
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Run runs a program to its end and returns its output.
func Run(binDir string, input []byte, program string, args ...string) ([]byte, error) {
	cmd := exec.Command(filepath.Join(binDir, program), args...)
	cmd.Stdin = bytes.NewReader(input)
	var failure bytes.Buffer
	cmd.Stderr = &failure
	output, err := cmd.Output()
	if err != nil {
		return output, errs.Wrap(err, errs.Internal, program+": "+failure.String())
	}
	return output, nil
}
