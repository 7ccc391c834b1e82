package harness

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// Reservation is a reserved loopback address for a process that has yet to start or restart. Without a reservation, another process of the
// machine may take the port in the meantime. The start then fails with "address in use", or the test talks to the wrong process. The
// reservation's socket is bound but does not listen: the kernel then never assigns its port to a socket that asks for any port, neither for
// listening nor for an outgoing connection. A listener that names the port and sets SO_REUSEADDR, as Go's listeners do, can still bind it.
type Reservation struct {
	Addr string
	fd   int
}

// Reserve reserves a loopback address. The caller releases it with Release after the processes that listen there have ended.
func Reserve() (*Reservation, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("failed to reserve an address: socket: %w", err)
	}
	r := &Reservation{fd: fd}
	if err := r.bind(); err != nil {
		r.Release()
		return nil, fmt.Errorf("failed to reserve an address: %w", err)
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

// Release ends the reservation.
func (r *Reservation) Release() { _ = unix.Close(r.fd) }
