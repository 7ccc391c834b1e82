package fence

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"

	"silverpath/internal/storage/atomicfile"
)

// File is a fence that lasts over a restart of its process. On disk it is a checksum of 8 hex digits, a line break, and JSON.
type File struct {
	*Fence
	path string
}

// fileContents is the JSON of a File.
type fileContents struct {
	Service string             `json:"service"` // whose fence it is
	Latest  map[string]Command `json:"seen"`
}

const (
	checksumLength = 8                  // hex digits of a CRC-32
	headerLength   = checksumLength + 1 // with the line break
)

// Open reads the fence of a service. A file that is not there makes an empty, incomplete fence; one that is damaged or another
// service's is an error that names it, and is left as it is.
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
		return nil, fmt.Errorf("%s: of another service, %q: set it aside", path, contents.Service)
	}
	f.Fence = New(contents.Latest, true) // of a duty that it has had no command of it asks the group too
	return f, nil
}

func parse(path string, data []byte) (c fileContents, err error) {
	if len(data) < headerLength || string(data[:checksumLength]) != checksum(data[headerLength:]) {
		return c, fmt.Errorf("%s: torn, or not a file of orders: set it aside", path)
	}
	if err := json.Unmarshal(data[headerLength:], &c); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func checksum(body []byte) string { return fmt.Sprintf("%08x", crc32.ChecksumIEEE(body)) }

// ReadFile reads a fence's file without taking it up: whose it is, and the latest command of each duty. It is for the inspection of
// a machine's files after a failure.
func ReadFile(path string) (service string, latest map[string]Command, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", nil, err
	}
	contents, err := parse(path, data)
	return contents.Service, contents.Latest, err
}

// Persist records a command and returns once that lasts. With an error the command is not recorded, and must not be carried out.
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
