package configstore

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Documents in parts: a change of a large document costs what it changes. docs/design/parts.md.

// Part is a piece of a document.
type Part struct {
	Version int    `json:"v"` // of the document, in which it last changed
	Digest  uint64 `json:"d"` // of its text
	Text    string `json:"t,omitempty"`
}

// Draft is a document in parts that is too large for one change, while it is put together. A document has one at most.
type Draft struct {
	ID    string            `json:"id"`
	Parts map[string]string `json:"parts"`
}

// Bounds of a document in parts.
const (
	// MaxParts bounds the names of a manifest: one of so many is about 50 KB.
	MaxParts = 1024
	// MaxPartSize is bytes of a part, the least that can be sent of a change: an answer carries several.
	MaxPartSize = 64 << 10
	// MaxDocumentSize is bytes that each member keeps and sends in a snapshot, and each process holds: eight times the map of 930
	// servers and 21,000 tenants.
	MaxDocumentSize = 16 << 20
	maxPartNameSize = 64
	PartsFormat     = 2 // the format of a document in parts; of others it is 1, and a process that reads only those is not offered this one
)

// PartDigest is the digest of a part's text.
func PartDigest(text string) uint64 { return xxhash.Sum64String(text) }

// PartsDigest is the digest of a document in parts: that of the names and digests of its parts.
func PartsDigest(parts map[string]Part) uint64 {
	h := xxhash.New()
	var b [9]byte // of a 0, which no name has, and a digest
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		_, _ = h.WriteString(name) // it never fails
		binary.BigEndian.PutUint64(b[1:], parts[name].Digest)
		_, _ = h.Write(b[:])
	}
	return h.Sum64()
}

// TextsDigest is PartsDigest of parts that are given by their texts.
func TextsDigest(texts map[string]string) uint64 {
	parts := map[string]Part{}
	for name, text := range texts {
		parts[name] = Part{Digest: PartDigest(text)}
	}
	return PartsDigest(parts)
}

// CheckSize is an error that names the bound that parts of a document are beyond.
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

// CheckChangeSize is CheckSize for what one change carries. What is larger goes into a draft by several changes.
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

// Batches splits parts into what one change each can carry, in the order of their names.
func Batches(texts map[string]string) (list []map[string]string) {
	size := 0
	for _, name := range slices.Sorted(maps.Keys(texts)) {
		n := len(name) + len(texts[name])
		if len(list) == 0 || size+n > maxTextSize/2 { // half, as quotes in a text take two bytes on the way
			list, size = append(list, map[string]string{}), 0
		}
		list[len(list)-1][name] = texts[name]
		size += n
	}
	return list
}

// Manifest are parts without their texts.
func Manifest(parts map[string]Part) map[string]Part {
	list := make(map[string]Part, len(parts))
	for name, p := range parts {
		p.Text = ""
		list[name] = p
	}
	return list
}
