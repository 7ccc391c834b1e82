package proxy

import (
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// settleTime is the age of a file's last change from which an equal stamp proves equal contents. Two changes within one tick of the file
// system's clock (nanoseconds to 10 ms on local disks, 2 s on the coarsest) leave the same stamp; a later change does not.
const settleTime = 2 * time.Second

// fileStamp is the metadata of a file or folder by which a change is detected without reading it.
type fileStamp struct {
	path          string
	dev, ino      uint64
	size          int64
	mtime, ctime  int64 // nanoseconds; unlike mtime, ctime can't be set back by a copy that preserves times
	isDir, recent bool  // recent: changed so shortly before that another change may leave the same stamp
}

// stampOf returns the stamp of a file or folder. The stamp is recent if the last change is less than minAge ago.
func stampOf(path string, minAge time.Duration) (fileStamp, error) {
	var s unix.Stat_t
	now := time.Now()
	if err := unix.Stat(path, &s); err != nil {
		return fileStamp{}, &os.PathError{Op: "stat", Path: path, Err: err}
	}
	st := fileStamp{
		path: path, dev: uint64(s.Dev), ino: s.Ino, size: s.Size, mtime: s.Mtim.Nano(), ctime: s.Ctim.Nano(), isDir: s.Mode&unix.S_IFMT == unix.S_IFDIR,
	}
	st.recent = now.Sub(time.Unix(0, max(st.mtime, st.ctime))) < minAge // a time in the future is recent too, at each call
	return st, nil
}

// stampsOf returns the stamp of a file, or those of a VersionDir and of the files in it. It is called before the files are read, so that
// a change during the read is detected at the next load.
func stampsOf(path string, minAge time.Duration) ([]fileStamp, error) {
	st, err := stampOf(path, minAge)
	if err != nil || !st.isDir {
		return []fileStamp{st}, err
	}
	stamps, dir := []fileStamp{st}, VersionDir{path}
	versions, err := dir.versions()
	for _, v := range versions {
		if st, err := stampOf(dir.path(v), minAge); err == nil { // the removal of a file changes the folder's stamp
			stamps = append(stamps, st)
		}
	}
	return stamps, err
}

// unchanged reports whether every file still has its stamp and no stamp is recent. It makes one stat call for each stamp and reads no
// file.
func unchanged(stamps []fileStamp, minAge time.Duration) bool {
	for _, was := range stamps {
		if was.recent {
			return false
		}
		is, err := stampOf(was.path, minAge)
		is.recent = false
		if err != nil || is != was {
			return false
		}
	}
	return len(stamps) > 0
}
