package proxy

import (
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// settleTime is how long after its last change a file's stamp stands for what is in it. Two changes within one tick of the file system's
// clock (nanoseconds to 10 ms on local disks, 2 s on the coarsest) have the same stamp; a later one does not.
const settleTime = 2 * time.Second

// fileStamp is what the system tells of a file that is not read.
type fileStamp struct {
	path           string
	dev, ino       uint64
	size           int64
	mtime, ctime   int64 // nanoseconds; ctime can't be set back by whoever copies a file with its times
	folder, recent bool  // recent: it had changed so lately that another change may have the same stamp
}

// stampOf is the stamp of a file or folder.
func stampOf(path string, settles time.Duration) (fileStamp, error) {
	var s unix.Stat_t
	now := time.Now()
	if err := unix.Stat(path, &s); err != nil {
		return fileStamp{}, &os.PathError{Op: "stat", Path: path, Err: err}
	}
	l := fileStamp{
		path: path, dev: uint64(s.Dev), ino: s.Ino, size: s.Size, mtime: s.Mtim.Nano(), ctime: s.Ctim.Nano(), folder: s.Mode&unix.S_IFMT == unix.S_IFDIR,
	}
	l.recent = now.Sub(time.Unix(0, max(l.mtime, l.ctime))) < settles // so is one from the future, each time
	return l, nil
}

// stampsOf are the stamps of a file, or of a VersionDir and the files in it. They are taken before what they are of is read, so that a
// change meanwhile shows at the next reading.
func stampsOf(path string, settles time.Duration) ([]fileStamp, error) {
	l, err := stampOf(path, settles)
	if err != nil || !l.folder {
		return []fileStamp{l}, err
	}
	all, s := []fileStamp{l}, VersionDir{path}
	list, err := s.versions()
	for _, v := range list {
		if l, err := stampOf(s.path(v), settles); err == nil { // one that has gone meanwhile shows in the folder's stamp
			all = append(all, l)
		}
	}
	return all, err
}

// unchanged reports whether everything has the stamp that it had, and that may be relied on. It reads nothing, and costs a call of the
// system for each stamp.
func unchanged(stamps []fileStamp, settles time.Duration) bool {
	for _, was := range stamps {
		if was.recent {
			return false
		}
		is, err := stampOf(was.path, settles)
		is.recent = false
		if err != nil || is != was {
			return false
		}
	}
	return len(stamps) > 0
}
