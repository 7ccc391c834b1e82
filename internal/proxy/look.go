package proxy

import (
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// settles is how long after its last change a file has to be looked at for the look to stand for what is in it. Two changes within
// one tick of the file system's clock (nanoseconds to 10 ms on local disks, 2 s on the coarsest) look alike; a later one does not.
const settles = 2 * time.Second

// look is what the system says of a file without its being read.
type look struct {
	path          string
	dev, ino      uint64
	size          int64
	mtime, ctime  int64 // nanoseconds; the second one can't be set back by whoever copies a file with its times
	folder, young bool  // young: it had changed so lately that another change may look the same
}

func lookAt(path string, settles time.Duration) (look, error) {
	var s unix.Stat_t
	now := time.Now()
	if err := unix.Stat(path, &s); err != nil {
		return look{}, &os.PathError{Op: "stat", Path: path, Err: err}
	}
	l := look{
		path: path, dev: uint64(s.Dev), ino: s.Ino, size: s.Size, mtime: s.Mtim.Nano(), ctime: s.Ctim.Nano(), folder: s.Mode&unix.S_IFMT == unix.S_IFDIR,
	}
	l.young = now.Sub(time.Unix(0, max(l.mtime, l.ctime))) < settles // so is one from the future, at each look
	return l, nil
}

// looksOf are the looks at a file, or at a folder of a series and the files in it. They are taken before what they are of is read,
// so that a change beside the reading shows at the next.
func looksOf(path string, settles time.Duration) ([]look, error) {
	l, err := lookAt(path, settles)
	if err != nil || !l.folder {
		return []look{l}, err
	}
	all, s := []look{l}, Series{path}
	list, err := s.versions()
	for _, v := range list {
		if l, err := lookAt(s.name(v), settles); err == nil { // one that has gone meanwhile shows in the folder
			all = append(all, l)
		}
	}
	return all, err
}

// same reports whether everything is as it was seen to be, and may be taken for unchanged. It reads nothing, and costs a call of the
// system for each look.
func same(seen []look, settles time.Duration) bool {
	for _, was := range seen {
		if was.young {
			return false
		}
		is, err := lookAt(was.path, settles)
		is.young = false
		if err != nil || is != was {
			return false
		}
	}
	return len(seen) > 0
}
