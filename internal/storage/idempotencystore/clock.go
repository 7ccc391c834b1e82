package idempotencystore

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"silverpath/internal/policy/idempotency"
)

// Now is the machine's clock: how long it has been switched on, sleep included, and which boot that is. Steps of the wall clock move
// neither. Test programs put another one in its place.
var Now = func() idempotency.Clock {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return idempotency.Clock{Boot: unknownBoot(), SinceBoot: time.Since(processStart)}
	}
	return idempotency.Clock{Machine: machine(), Boot: boot(), SinceBoot: time.Duration(ts.Nano())}
}

var processStart = time.Now()

// boot is the kernel's name for this time of being switched on. Where it has none, each process takes itself for the first.
var boot = sync.OnceValue(func() string {
	b, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil || len(b) == 0 {
		return unknownBoot()
	}
	return strings.TrimSpace(string(b))
})

// machine is the installation's own name, by which a disk in another machine is told from one that came back. Empty: there is none.
var machine = sync.OnceValue(func() string {
	b, err := os.ReadFile("/etc/machine-id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(b))
})

var unknownBoot = sync.OnceValue(newID)

func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
