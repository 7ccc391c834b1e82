package configstore

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Documents in parts: the cost of a change depends on the changed parts, not on the size of the document. See docs/design/parts.md.

// Part is a named piece of a document.
type Part struct {
	Version int    `json:"v"` // the version of the document in which the part last changed
	Digest  uint64 `json:"d"` // of Text
	Text    string `json:"t,omitempty"`
}

// Draft collects the parts of a change that is too large for one log entry. A document has at most one draft.
type Draft struct {
	ID    string            `json:"id"`
	Parts map[string]string `json:"parts"`
}

// Limits of a document in parts.
const (
	// MaxParts limits the entries of a manifest: a manifest of 1024 parts is about 50 KB.
	MaxParts = 1024
	// MaxPartSize is the limit of a part in bytes. A part is the smallest unit that is sent, and an answer carries several.
	MaxPartSize = 64 << 10
	// MaxDocumentSize is the limit of a document in bytes. Each member stores it and sends it in snapshots, and each process keeps it. It is
	// eight times the map of 930 servers and 21,000 tenants.
	MaxDocumentSize = 16 << 20
	maxPartNameSize = 64
	PartsFormat     = 2 // format of a document in parts; other documents have format 1, and processes that read only 1 are not offered this
)

// PartDigest returns the digest of a part's text.
func PartDigest(text string) uint64 { return xxhash.Sum64String(text) }

// PartsDigest returns the digest of a document in parts, over the names and digests of its parts.
func PartsDigest(parts map[string]Part) uint64 {
	h := xxhash.New()
	var b [9]byte // a zero byte, which no name contains, and a digest
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		_, _ = h.WriteString(name) // never returns an error
		binary.BigEndian.PutUint64(b[1:], parts[name].Digest)
		_, _ = h.Write(b[:])
	}
	return h.Sum64()
}

// TextsDigest returns the PartsDigest of parts given by their texts.
func TextsDigest(texts map[string]string) uint64 {
	parts := map[string]Part{}
	for name, text := range texts {
		parts[name] = Part{Digest: PartDigest(text)}
	}
	return PartsDigest(parts)
}

// CheckSize returns an error that names the limit which the parts of a document exceed.
func CheckSize(doc string, texts map[string]string) error {
	if len(texts) > MaxParts {
		return fmt.Errorf("%s: %d parts, of at most %d", doc, len(texts), MaxParts)
	}
	size := 0
	for _, name := range slices.Sorted(maps.Keys(texts)) {
		n := len(texts[name])
		size += len(name) + n
		switch {
		case name == "" || len(name) > maxPartNameSize || strings.ContainsRune(name, 0):
			return fmt.Errorf("%s: a part's name %.70q: of 1 to %d bytes, none of them 0", doc, name, maxPartNameSize)
		case n == 0 || n > MaxPartSize:
			return fmt.Errorf("%s: part %s: %d bytes, of 1 to %d", doc, name, n, MaxPartSize)
		}
	}
	if size > MaxDocumentSize {
		return fmt.Errorf("%s: %d bytes in parts, of at most %d", doc, size, MaxDocumentSize)
	}
	return nil
}

// CheckChangeSize is CheckSize for the parts of one change. Larger contents are loaded into a draft by several changes.
func CheckChangeSize(doc string, texts map[string]string) error {
	if err := CheckSize(doc, texts); err != nil {
		return err
	}
	if n := textsSize(texts); n > maxTextSize {
		return fmt.Errorf("%s: %d bytes in one change, of at most %d", doc, n, maxTextSize)
	}
	return nil
}

func textsSize(texts map[string]string) (n int) {
	for name, text := range texts {
		n += len(name) + len(text)
	}
	return n
}

// Batches splits parts into groups that each fit into one change, in order of name.
func Batches(texts map[string]string) (list []map[string]string) {
	size := 0
	for _, name := range slices.Sorted(maps.Keys(texts)) {
		n := len(name) + len(texts[name])
		if len(list) == 0 || size+n > maxTextSize/2 { // half of the limit, as a quote in a text is encoded as two bytes
			list, size = append(list, map[string]string{}), 0
		}
		list[len(list)-1][name] = texts[name]
		size += n
	}
	return list
}

// Manifest returns the parts without their texts.
func Manifest(parts map[string]Part) map[string]Part {
	list := make(map[string]Part, len(parts))
	for name, p := range parts {
		p.Text = ""
		list[name] = p
	}
	return list
}
