package harness

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// Reservation is a loopback address for a process that is yet to start, or to start again. It guards against another process of the
// machine taking the port in between, which shows as "address in use" at a start, or as a test that talks to a stranger. The socket is
// bound and never listens: the system then hands its port to nobody who asks for any port, neither to listen nor for an outgoing
// connection, while a listener that names the port and sets SO_REUSEADDR, as Go's do, gets it.
type Reservation struct {
	Addr string
	fd   int
}

// Reserve binds a loopback address. The caller ends it by Release, after the processes that listen there.
func Reserve() (*Reservation, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserve an address: socket: %w", err)
	}
	r := &Reservation{fd: fd}
	if err := r.bind(); err != nil {
		r.Release()
		return nil, fmt.Errorf("reserve an address: %w", err)
	}
	return r, nil
}

func (r *Reservation) bind() error {
	if err := unix.SetsockoptInt(r.fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := unix.Bind(r.fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	bound, err := unix.Getsockname(r.fd)
	if err != nil {
		return err
	}
	r.Addr = fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)
	return nil
}

// Release gives the address up.
func (r *Reservation) Release() { _ = unix.Close(r.fd) }
