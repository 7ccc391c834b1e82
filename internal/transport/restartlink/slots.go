package restartlink

import (
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// maxWindowBytes is the most that is read of a slot's file: a number of nanoseconds and the end of the line.
const maxWindowBytes = 24

// slots are the two slots for processes of one service. Each slot is a file in a folder that the processes share, and the process in the
// slot holds the lock on the file. The kernel releases the lock when the process ends, so a file left behind by a dead process has no
// effect, and at most two processes have a slot.
type slots struct {
	dir   *os.File
	stem  string
	locks [2]*os.File
}

// openSlots opens the slot files of the named service in dir. It takes no slot.
func openSlots(dir, name string) (*slots, error) {
	d, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	h := fnv.New64a()
	h.Write([]byte(name))
	s := &slots{dir: d, stem: fmt.Sprintf("silverpath-%016x", h.Sum64())}
	for i := range s.locks {
		if s.locks[i], err = os.OpenFile(filepath.Join(dir, fmt.Sprintf("%s.%d", s.stem, i)), os.O_RDWR|os.O_CREATE, 0o600); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// close closes the files, which releases the slot.
func (s *slots) close() {
	s.dir.Close()
	for _, f := range s.locks {
		if f != nil {
			f.Close()
		}
	}
}

// take takes a free slot. It returns false if there is none.
func (s *slots) take() (slot int, ok bool) {
	for i, f := range s.locks {
		l := unix.Flock_t{Type: unix.F_WRLCK, Whence: io.SeekStart}
		if unix.FcntlFlock(f.Fd(), unix.F_OFD_SETLK, &l) == nil {
			return i, true
		}
	}
	return 0, false
}

// taken reports whether another process holds a slot.
func (s *slots) taken(slot int) bool {
	l := unix.Flock_t{Type: unix.F_WRLCK, Whence: io.SeekStart}
	err := unix.FcntlFlock(s.locks[slot].Fd(), unix.F_OFD_GETLK, &l)
	return err != nil || l.Type != unix.F_UNLCK // if the lock cannot be queried, assume that another process holds it
}

// storeWindow writes the longest idempotency window of the process that holds a slot to the slot's file. The peer reads it after the process
// has died. Earlier builds leave the file empty.
func (s *slots) storeWindow(slot int, window time.Duration) error {
	text := strconv.FormatInt(int64(window), 10) + "\n"
	_, err := s.locks[slot].WriteAt([]byte(text), 0)
	return err
}

// window returns the window that the present or the last holder of a slot has stored, or 0 if there is none.
func (s *slots) window(slot int) time.Duration {
	var buf [maxWindowBytes]byte
	n, _ := s.locks[slot].ReadAt(buf[:], 0) // an error other than the end of the file leaves the window unknown
	line, _, complete := strings.Cut(string(buf[:n]), "\n")
	nanoseconds, err := strconv.ParseInt(line, 10, 64)
	if !complete || err != nil || nanoseconds < 0 {
		return 0
	}
	return time.Duration(nanoseconds)
}

// socketPath returns the path of the socket on which the process in a slot accepts the peer's connection. The path goes through the
// folder's descriptor under /proc/self/fd, because the folder's own path may exceed the maximum length of a socket's path.
func (s *slots) socketPath(slot int) string {
	return fmt.Sprintf("/proc/self/fd/%d/%s.%d.sock", s.dir.Fd(), s.stem, slot)
}

// markPath returns the path of the mark of the process that started at startedAt. The mark is a file which shows that the process ran
// requests that its peer was not notified of.
func (s *slots) markPath(startedAt int64) string {
	return filepath.Join(s.dir.Name(), s.stem+".mark."+strconv.FormatInt(startedAt, 10))
}

// removeMarks removes all marks. It is called when there is no peer, after the check for a dead peer's mark, so no process looks for one.
func (s *slots) removeMarks() {
	names, _ := os.ReadDir(s.dir.Name())
	for _, n := range names {
		if strings.HasPrefix(n.Name(), s.stem+".mark.") {
			_ = os.Remove(filepath.Join(s.dir.Name(), n.Name())) // a mark that cannot be removed has no effect: no process looks for it
		}
	}
}
