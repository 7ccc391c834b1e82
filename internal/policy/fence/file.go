package fence

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"

	"silverpath/internal/storage/atomicfile"
)

// File is a fence that persists across restarts of its process. The file has a checksum of 8 hex digits, a line break, and JSON.
type File struct {
	*Fence
	path string
}

// fileContents is the JSON of a File.
type fileContents struct {
	Service string             `json:"service"` // the service that owns the fence
	Latest  map[string]Command `json:"seen"`
}

const (
	checksumLength = 8                  // hex digits of a CRC-32
	headerLength   = checksumLength + 1 // checksum and line break
)

// Open reads the fence file of a service. If the file does not exist, it returns an empty, incomplete fence. For a damaged file or one
// of another service it returns an error that names the file, and leaves the file unchanged.
func Open(path, service string) (*File, error) {
	f := &File{path: path}
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		f.Fence = New(nil, true)
		return f, nil
	}
	if err != nil {
		return nil, err
	}
	contents, err := parse(path, data)
	if err != nil {
		return nil, err
	}
	if contents.Service != service {
		return nil, fmt.Errorf("%s: fence file of another service, %q: move it away", path, contents.Service)
	}
	f.Fence = New(contents.Latest, true) // duties without a command still need SetFloor
	return f, nil
}

func parse(path string, data []byte) (c fileContents, err error) {
	if len(data) < headerLength || string(data[:checksumLength]) != checksum(data[headerLength:]) {
		return c, fmt.Errorf("%s: checksum mismatch, the file is torn or not a fence file: move it away", path)
	}
	if err := json.Unmarshal(data[headerLength:], &c); err != nil {
		return c, fmt.Errorf("failed to parse %s: %w", path, err)
	}
	return c, nil
}

func checksum(body []byte) string { return fmt.Sprintf("%08x", crc32.ChecksumIEEE(body)) }

// ReadFile returns the service of a fence file and the latest command of each duty. Tools call it to inspect the files of a machine
// after a failure.
func ReadFile(path string) (service string, latest map[string]Command, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", nil, err
	}
	contents, err := parse(path, data)
	return contents.Service, contents.Latest, err
}

// Persist records a command and returns once it is on disk. On an error the command is not recorded, and must not be carried out.
func (f *File) Persist(c Command, service string) error {
	next := New(f.latest, f.incomplete)
	next.Record(c)
	body, err := json.Marshal(fileContents{service, next.latest})
	if err != nil {
		return err
	}
	if err := atomicfile.Write(f.path, append([]byte(checksum(body)+"\n"), body...), os.Rename); err != nil {
		return fmt.Errorf("noting an order: %w", err)
	}
	f.Fence = next
	return nil
}
