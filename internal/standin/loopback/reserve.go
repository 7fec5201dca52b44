package loopback

import (
	"net"
	"strconv"
	"syscall"
)

// Reserve returns a free address of loopback, which stays reserved until the process ends: a
// server can listen there, end and start again, although the system gives ports that are not
// in use to others. Meanwhile connections to it are refused.
func Reserve() (string, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", err
	}
	// Listeners on the address set the option, too, and so may bind it.
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return "", err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", err
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*syscall.SockaddrInet4).Port)), nil
}
