package proxy

import (
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// settleTime is how long after its last change a file has to be looked at for the look to stand for what is in it. Two changes within
// one tick of the file system's clock (nanoseconds to 10 ms on local disks, 2 s on the coarsest) look alike; a later one does not.
const settleTime = 2 * time.Second

// fileStamp is what the system says of a file without its being read.
type fileStamp struct {
	path           string
	dev, ino       uint64
	size           int64
	mtime, ctime   int64 // nanoseconds; the second one can't be set back by whoever copies a file with its times
	folder, recent bool  // young: it had changed so lately that another change may look the same
}

func stampOf(path string, settles time.Duration) (fileStamp, error) {
	var s unix.Stat_t
	now := time.Now()
	if err := unix.Stat(path, &s); err != nil {
		return fileStamp{}, &os.PathError{Op: "stat", Path: path, Err: err}
	}
	l := fileStamp{
		path: path, dev: uint64(s.Dev), ino: s.Ino, size: s.Size, mtime: s.Mtim.Nano(), ctime: s.Ctim.Nano(), folder: s.Mode&unix.S_IFMT == unix.S_IFDIR,
	}
	l.recent = now.Sub(time.Unix(0, max(l.mtime, l.ctime))) < settles // so is one from the future, at each look
	return l, nil
}

// stampsOf are the looks at a file, or at a folder of a series and the files in it. They are taken before what they are of is read,
// so that a change beside the reading shows at the next.
func stampsOf(path string, settles time.Duration) ([]fileStamp, error) {
	l, err := stampOf(path, settles)
	if err != nil || !l.folder {
		return []fileStamp{l}, err
	}
	all, s := []fileStamp{l}, VersionDir{path}
	list, err := s.versions()
	for _, v := range list {
		if l, err := stampOf(s.path(v), settles); err == nil { // one that has gone meanwhile shows in the folder
			all = append(all, l)
		}
	}
	return all, err
}

// unchanged reports whether everything is as it was seen to be, and may be taken for unchanged. It reads nothing, and costs a call of the
// system for each look.
func unchanged(seen []fileStamp, settles time.Duration) bool {
	for _, was := range seen {
		if was.recent {
			return false
		}
		is, err := stampOf(was.path, settles)
		is.recent = false
		if err != nil || is != was {
			return false
		}
	}
	return len(seen) > 0
}
