// Package heartbeat writes the heartbeats of a process to disk and reads the last heartbeat of the previous process. Package
// recovery decides what a heartbeat proves.
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
	// heartbeatsPerValidity is the number of heartbeats that are due while the latest is valid. One or two may be late before
	// requests have to stop.
	heartbeatsPerValidity = 4
	maxFileSize           = 4 << 10 // bytes that are read of a heartbeat file, far more than a heartbeat takes
)

// Heartbeats writes the heartbeats of one process and grants it the right to execute requests while they are valid.
type Heartbeats struct {
	path, name        string
	validity          time.Duration
	retention         func() time.Duration // see Open; nil: not stored
	previousRetention time.Duration
	log               *log.Logger
	stats             *metrics.Counters
	downtime          time.Duration
	evidence          recovery.Evidence
	openedAt          idempotency.Clock // when the previous process's heartbeat was read

	mu            sync.Mutex
	lease         *recovery.HeartbeatLease
	recent        recovery.RecentRetention
	failureLogged bool // the current failure to write heartbeats has been logged
}

// fileRecord is the content of a heartbeat file. The checksum covers the JSON of the heartbeat.
type fileRecord struct {
	Heartbeat recovery.Heartbeat `json:"sign"`
	Checksum  uint32             `json:"sum"`
	// Retention is how long the requests that the process ran may be repeated. Earlier builds neither write nor read it.
	Retention *retentionRecord `json:"retention,omitempty"`
}

// retentionRecord is a retention in nanoseconds. The checksum covers it and the JSON of the heartbeat.
type retentionRecord struct {
	Nanoseconds time.Duration `json:"ns"`
	Checksum    uint32        `json:"sum"`
}

// checksum returns the checksum of the heartbeat's JSON.
func (r fileRecord) checksum() uint32 {
	return crc32.ChecksumIEEE(r.heartbeatJSON())
}

// retentionChecksum returns the checksum of the heartbeat's JSON and the retention.
func (r fileRecord) retentionChecksum() uint32 {
	return crc32.ChecksumIEEE(fmt.Append(r.heartbeatJSON(), int64(r.Retention.Nanoseconds)))
}

func (r fileRecord) heartbeatJSON() []byte {
	text, _ := json.Marshal(r.Heartbeat) // can't fail: the fields are strings and numbers
	return text
}

// retention returns the retention of the process, or 0 if the record has none or it is damaged.
func (r fileRecord) retention() time.Duration {
	if r.Retention == nil || r.Retention.Checksum != r.retentionChecksum() {
		return 0
	}
	return r.Retention.Nanoseconds
}

// Open reads the heartbeat of the previous process and writes the first one of this process. A file that can't be read
// proves nothing and is renamed. It returns an error if the file is that of another service or can't be renamed. The
// interval of heartbeats follows from validity. Retention returns how long a request that runs now may be repeated by the present settings;
// it is stored with each heartbeat. A nil retention stores none, for a process whose runs are stored elsewhere.
func Open(path, name string, validity time.Duration, retention func() time.Duration, logger *log.Logger, stats *metrics.Counters) (*Heartbeats, error) {
	h := &Heartbeats{path: path, name: name, validity: validity, retention: retention, log: logger, stats: stats, openedAt: idempotencystore.Now(),
		lease: recovery.NewHeartbeatLease(recovery.LeaseTerms{Interval: validity / heartbeatsPerValidity, Validity: validity})}
	record, err := readRecord(path)
	previous := record.Heartbeat
	if err != nil {
		events.Log(logger, "heartbeat.unreadable", err)
		if err := os.Rename(path, fmt.Sprintf("%s.damaged-%d", path, time.Now().UnixNano())); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return nil, err
		}
	}
	h.downtime, h.evidence = previous.Downtime(h.heartbeat(h.openedAt))
	if previous.Name != "" && previous.Name != name {
		return nil, fmt.Errorf("%s: it is of the service %q, not of %q", path, previous.Name, name)
	}
	// Requests of the process before the previous one may be repeated for as long.
	h.previousRetention = record.retention()
	h.recent.Update(h.openedAt.SinceBoot, h.previousRetention)
	h.writeIfDue() // a failure is logged and does not stop the service: it still serves reads
	events.Log(logger, "heartbeat.downtime", h.downtime.Round(time.Millisecond), h.evidence)
	return h, nil
}

// Read reads a heartbeat file. It returns the zero heartbeat and no error if the file does not exist.
func Read(path string) (recovery.Heartbeat, error) {
	record, err := readRecord(path)
	return record.Heartbeat, err
}

// readRecord reads a heartbeat file. It returns the zero record and no error if the file does not exist.
func readRecord(path string) (record fileRecord, err error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return fileRecord{}, nil
	}
	if err != nil {
		return fileRecord{}, err
	}
	defer f.Close()
	buf := make([]byte, maxFileSize)
	n, err := f.Read(buf)
	if err != nil {
		return fileRecord{}, fmt.Errorf("%s: %w", path, err)
	}
	if err := json.Unmarshal(buf[:n], &record); err != nil {
		return fileRecord{}, fmt.Errorf("%s: %w", path, err)
	}
	if record.Checksum != record.checksum() {
		return fileRecord{}, fmt.Errorf("%s: its checksum is not of what it says", path)
	}
	return record, nil
}

// PreviousRetention returns how long the requests that earlier processes ran may be repeated by their settings, or 0 if that is unknown.
func (h *Heartbeats) PreviousRetention() time.Duration { return h.previousRetention }

// heartbeat returns the heartbeat of this process at the given time.
func (h *Heartbeats) heartbeat(now idempotency.Clock) recovery.Heartbeat {
	return recovery.Heartbeat{Name: h.name, Machine: now.Machine, Boot: now.Boot, SinceBoot: now.SinceBoot, Validity: h.validity}
}

// record returns the content of the heartbeat file at the given time.
func (h *Heartbeats) record(now idempotency.Clock) fileRecord {
	record := fileRecord{Heartbeat: h.heartbeat(now)}
	record.Checksum = record.checksum()
	if h.retention != nil {
		h.mu.Lock()
		record.Retention = &retentionRecord{Nanoseconds: h.recent.Update(now.SinceBoot, h.retention())}
		h.mu.Unlock()
		record.Retention.Checksum = record.retentionChecksum()
	}
	return record
}

// writeIfDue writes a heartbeat if one is due. It logs the first of consecutive failures.
func (h *Heartbeats) writeIfDue() {
	now := idempotencystore.Now()
	h.mu.Lock()
	due := h.lease.HeartbeatDue(now.SinceBoot)
	h.mu.Unlock()
	if !due {
		return
	}
	record := h.record(now)
	text, err := json.Marshal(record)
	if err == nil {
		if err = injectedFault(); err == nil {
			err = atomicfile.Write(h.path, text, os.Rename)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease.HeartbeatWritten(err == nil)
	if err != nil && !h.failureLogged {
		events.Log(h.log, "heartbeat.failed", err)
	}
	if h.failureLogged = err != nil; h.failureLogged {
		h.stats.Inc("life", "failed")
	} else {
		h.stats.Inc("life", "signs")
	}
}

// FaultHook is called before each heartbeat is written. Test programs set it to return the error of a failing disk.
var FaultHook func() error

func injectedFault() error {
	if FaultHook == nil {
		return nil
	}
	return FaultHook()
}

// Run writes heartbeats until the context ends.
func (h *Heartbeats) Run(ctx context.Context) {
	ticker := time.NewTicker(max(h.validity/heartbeatsPerValidity/2, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.writeIfDue()
		}
	}
}

// MayExecute reports whether requests with side effects may run: see [recovery.HeartbeatLease].
func (h *Heartbeats) MayExecute() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.MayExecute(idempotencystore.Now().SinceBoot)
}

// Downtime returns for how long at least no earlier process of the service has executed a request, as of now, and the
// evidence for it.
func (h *Heartbeats) Downtime() (time.Duration, recovery.Evidence) {
	return h.downtime + idempotencystore.Now().SinceBoot - h.openedAt.SinceBoot, h.evidence
}
