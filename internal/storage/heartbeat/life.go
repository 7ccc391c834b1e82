// Package heartbeat leaves signs of life of a process on a disk that lasts, and reads the last one of the process before it. What they
// prove is decided by the package recovery.
package heartbeat

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"log"
	"os"
	"sync"
	"time"

	"silverpath/internal/events"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/idempotency"
	"silverpath/internal/policy/recovery"
	"silverpath/internal/storage/atomicfile"
	"silverpath/internal/storage/idempotencystore"
)

const (
	// part is how many signs are due while the latest is valid.
	part = 4
	most = 4 << 10 // bytes of a sign's file
)

// Keeper leaves the signs of one process.
type Keeper struct {
	path, name string
	valid      time.Duration
	log        *log.Logger
	stats      *metrics.Counters
	dark       time.Duration
	by         recovery.Evidence
	found      idempotency.Clock // when it was found

	mu   sync.Mutex
	life *recovery.Life
	told bool // that signs don't last
}

// record is a sign as it is written.
type record struct {
	Sign recovery.Sign `json:"sign"`
	Sum  uint32        `json:"sum"`
}

func (r record) sum() uint32 {
	text, _ := json.Marshal(r.Sign)
	return crc32.ChecksumIEEE(text)
}

// Open reads the sign of the process before this one. What can't be read proves nothing, and is set aside.
func Open(path, name string, valid time.Duration, l *log.Logger, s *metrics.Counters) (*Keeper, error) {
	k := &Keeper{path: path, name: name, valid: valid, log: l, stats: s, found: idempotencystore.Now(),
		life: recovery.NewLife(recovery.Terms{Every: valid / part, Valid: valid})}
	last, err := Read(path)
	if err != nil {
		events.Log(l, "life.unreadable", err)
		if err := os.Rename(path, fmt.Sprintf("%s.damaged-%d", path, time.Now().UnixNano())); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return nil, err
		}
	}
	k.dark, k.by = last.Dark(k.sign(k.found))
	if last.Name != "" && last.Name != name {
		return nil, fmt.Errorf("%s: it is of the service %q, not of %q", path, last.Name, name)
	}
	k.write() // one that does not last is said: reads are served all the same
	events.Log(l, "life.dark", k.dark.Round(time.Millisecond), k.by)
	return k, nil
}

// Read reads a sign. One that is not there is of nobody, and no error.
func Read(path string) (s recovery.Sign, err error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return s, nil
	}
	if err != nil {
		return s, err
	}
	defer f.Close()
	b := make([]byte, most)
	n, err := f.Read(b)
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	var r record
	if err := json.Unmarshal(b[:n], &r); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	if r.Sum != r.sum() {
		return s, fmt.Errorf("%s: its checksum is not of what it says", path)
	}
	return r.Sign, nil
}

func (k *Keeper) sign(c idempotency.Clock) recovery.Sign {
	return recovery.Sign{Name: k.name, Machine: c.Machine, Boot: c.Boot, Up: c.Now, Valid: k.valid}
}

// write writes a sign where one is due.
func (k *Keeper) write() {
	now := idempotencystore.Now()
	k.mu.Lock()
	due := k.life.Due(now.Now)
	k.mu.Unlock()
	if !due {
		return
	}
	r := record{Sign: k.sign(now)}
	r.Sum = r.sum()
	text, err := json.Marshal(r)
	if err == nil {
		if err = boundary(); err == nil {
			err = atomicfile.Put(k.path, text, os.Rename)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.life.Written(err == nil)
	if err != nil && !k.told {
		events.Log(k.log, "life.failed", err)
	}
	if k.told = err != nil; k.told {
		k.stats.Inc("life", "failed")
	} else {
		k.stats.Inc("life", "signs")
	}
}

// Fault is asked before a sign is written, in test programs only.
var Fault func() error

func boundary() error {
	if Fault == nil {
		return nil
	}
	return Fault()
}

// Keep leaves signs until the context ends.
func (k *Keeper) Keep(ctx context.Context) {
	t := time.NewTicker(max(k.valid/part/2, time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			k.write()
		}
	}
}

// May reports whether what has an effect may begin.
func (k *Keeper) May() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.life.May(idempotencystore.Now().Now)
}

// Dark is for how long, by now and at the least, no earlier process of the service has begun anything, and by what that is known.
func (k *Keeper) Dark() (time.Duration, recovery.Evidence) {
	return k.dark + idempotencystore.Now().Now - k.found.Now, k.by
}
