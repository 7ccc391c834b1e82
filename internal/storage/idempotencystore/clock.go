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

// Now returns the machine's clock: the time since boot, including sleep, and the identity of the boot. Changes of the wall
// clock affect neither. Test programs replace it.
var Now = func() idempotency.Clock {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return idempotency.Clock{Boot: processBootID(), SinceBoot: time.Since(processStart)}
	}
	return idempotency.Clock{Machine: machineID(), Boot: bootID(), SinceBoot: time.Duration(ts.Nano())}
}

var processStart = time.Now()

// bootID returns the kernel's ID of the present boot. If there is none, it is an ID of this process, so that each process
// counts as a boot of its own.
var bootID = sync.OnceValue(func() string {
	b, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil || len(b) == 0 {
		return processBootID()
	}
	return strings.TrimSpace(string(b))
})

// machineID returns the ID of the operating system's installation, which detects a disk that was moved to another machine. It
// is empty if there is none.
var machineID = sync.OnceValue(func() string {
	b, err := os.ReadFile("/etc/machine-id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(b))
})

var processBootID = sync.OnceValue(newID)

func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
