package restartlink

import (
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// slots are the two slots for processes of one service: a file each, in a folder that they share. The process in a slot holds the lock on
// its file, which the system releases with the process. So a file that a dead process left behind says nothing, and there are never more
// than two.
type slots struct {
	dir   *os.File
	stem  string
	locks [2]*os.File
}

func openSlots(dir, name string) (*slots, error) {
	d, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	h := fnv.New64a()
	h.Write([]byte(name))
	p := &slots{dir: d, stem: fmt.Sprintf("silverpath-%016x", h.Sum64())}
	for i := range p.locks {
		if p.locks[i], err = os.OpenFile(filepath.Join(dir, fmt.Sprintf("%s.%d", p.stem, i)), os.O_RDWR|os.O_CREATE, 0o600); err != nil {
			p.close()
			return nil, err
		}
	}
	return p, nil
}

func (p *slots) close() {
	p.dir.Close()
	for _, f := range p.locks {
		if f != nil {
			f.Close()
		}
	}
}

// take takes a slot that is free, if there is one.
func (p *slots) take() (slot int, ok bool) {
	for i, f := range p.locks {
		l := unix.Flock_t{Type: unix.F_WRLCK, Whence: io.SeekStart}
		if unix.FcntlFlock(f.Fd(), unix.F_OFD_SETLK, &l) == nil {
			return i, true
		}
	}
	return 0, false
}

// taken reports whether another process is in a slot.
func (p *slots) taken(slot int) bool {
	l := unix.Flock_t{Type: unix.F_WRLCK, Whence: io.SeekStart}
	err := unix.FcntlFlock(p.locks[slot].Fd(), unix.F_OFD_GETLK, &l)
	return err != nil || l.Type != unix.F_UNLCK // when in doubt, one is
}

// socketPath is where the process in a slot listens for the other. By way of the folder's descriptor its path is short enough for a
// socket's name, however long the folder's own is.
func (p *slots) socketPath(slot int) string {
	return fmt.Sprintf("/proc/self/fd/%d/%s.%d.sock", p.dir.Fd(), p.stem, slot)
}

// markPath is the file by which a process, named by its start, says that it ran what the other was not notified of.
func (p *slots) markPath(startedAt int64) string {
	return filepath.Join(p.dir.Name(), p.stem+".mark."+strconv.FormatInt(startedAt, 10))
}

// removeMarks removes the marks of processes that nobody looks for any more.
func (p *slots) removeMarks() {
	names, _ := os.ReadDir(p.dir.Name())
	for _, n := range names {
		if strings.HasPrefix(n.Name(), p.stem+".mark.") {
			_ = os.Remove(filepath.Join(p.dir.Name(), n.Name())) // one that stays is in nobody's way
		}
	}
}
