// Package heartbeat writes the heartbeats of a process to a disk, and reads the last one of the process before it. What they prove is
// decided by the package recovery.
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
	// heartbeatsPerValidity is how many heartbeats are due while the latest is valid: one or two may be late without a pause.
	heartbeatsPerValidity = 4
	maxFile               = 4 << 10 // bytes of a heartbeat's file: far more than its names take
)

// Heartbeats writes those of one process.
type Heartbeats struct {
	path, name string
	validity   time.Duration
	log        *log.Logger
	stats      *metrics.Counters
	downtime   time.Duration
	evidence   recovery.Evidence
	foundAt    idempotency.Clock // when the last one was read

	mu            sync.Mutex
	lease         *recovery.HeartbeatLease
	failureLogged bool // that heartbeats can't be written
}

// fileRecord is a heartbeat as it is written; the checksum is of the heartbeat's JSON.
type fileRecord struct {
	Heartbeat recovery.Heartbeat `json:"sign"`
	Checksum  uint32             `json:"sum"`
}

func (r fileRecord) checksum() uint32 {
	text, _ := json.Marshal(r.Heartbeat) // texts and numbers alone: it can't fail
	return crc32.ChecksumIEEE(text)
}

// Open reads the heartbeat of the process before this one, and writes the first of this one. A file that can't be read proves nothing,
// and is set aside; one of another service is an error. Interval and validity of heartbeats follow from validity.
func Open(path, name string, validity time.Duration, l *log.Logger, s *metrics.Counters) (*Heartbeats, error) {
	k := &Heartbeats{path: path, name: name, validity: validity, log: l, stats: s, foundAt: idempotencystore.Now(),
		lease: recovery.NewHeartbeatLease(recovery.LeaseTerms{Interval: validity / heartbeatsPerValidity, Validity: validity})}
	last, err := Read(path)
	if err != nil {
		events.Log(l, "heartbeat.unreadable", err)
		if err := os.Rename(path, fmt.Sprintf("%s.damaged-%d", path, time.Now().UnixNano())); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return nil, err
		}
	}
	k.downtime, k.evidence = last.Downtime(k.heartbeat(k.foundAt))
	if last.Name != "" && last.Name != name {
		return nil, fmt.Errorf("%s: it is of the service %q, not of %q", path, last.Name, name)
	}
	k.writeIfDue() // a failure is logged: reads are served all the same
	events.Log(l, "heartbeat.downtime", k.downtime.Round(time.Millisecond), k.evidence)
	return k, nil
}

// Read reads a heartbeat. One that is not there is of nobody, and no error.
func Read(path string) (s recovery.Heartbeat, err error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return s, nil
	}
	if err != nil {
		return s, err
	}
	defer f.Close()
	b := make([]byte, maxFile)
	n, err := f.Read(b)
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	var r fileRecord
	if err := json.Unmarshal(b[:n], &r); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	if r.Checksum != r.checksum() {
		return s, fmt.Errorf("%s: its checksum is not of what it says", path)
	}
	return r.Heartbeat, nil
}

func (k *Heartbeats) heartbeat(c idempotency.Clock) recovery.Heartbeat {
	return recovery.Heartbeat{Name: k.name, Machine: c.Machine, Boot: c.Boot, SinceBoot: c.SinceBoot, Validity: k.validity}
}

// writeIfDue writes a heartbeat where one is due.
func (k *Heartbeats) writeIfDue() {
	now := idempotencystore.Now()
	k.mu.Lock()
	due := k.lease.HeartbeatDue(now.SinceBoot)
	k.mu.Unlock()
	if !due {
		return
	}
	r := fileRecord{Heartbeat: k.heartbeat(now)}
	r.Checksum = r.checksum()
	text, err := json.Marshal(r)
	if err == nil {
		if err = fault(); err == nil {
			err = atomicfile.Write(k.path, text, os.Rename)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.HeartbeatWritten(err == nil)
	if err != nil && !k.failureLogged {
		events.Log(k.log, "heartbeat.failed", err)
	}
	if k.failureLogged = err != nil; k.failureLogged {
		k.stats.Inc("life", "failed")
	} else {
		k.stats.Inc("life", "signs")
	}
}

// FaultHook is asked before a heartbeat is written, in test programs only.
var FaultHook func() error

func fault() error {
	if FaultHook == nil {
		return nil
	}
	return FaultHook()
}

// Run writes heartbeats until the context ends.
func (k *Heartbeats) Run(ctx context.Context) {
	t := time.NewTicker(max(k.validity/heartbeatsPerValidity/2, time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			k.writeIfDue()
		}
	}
}

// MayExecute reports whether requests with an effect may run: see [recovery.HeartbeatLease].
func (k *Heartbeats) MayExecute() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.MayExecute(idempotencystore.Now().SinceBoot)
}

// Downtime is for how long, by now and at the least, no earlier process of the service has run anything, and by what that is known.
func (k *Heartbeats) Downtime() (time.Duration, recovery.Evidence) {
	return k.downtime + idempotencystore.Now().SinceBoot - k.foundAt.SinceBoot, k.evidence
}
