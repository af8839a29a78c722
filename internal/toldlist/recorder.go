package toldlist

import (
	"cmp"
	"encoding/json"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/brain"
	"ledgespread/internal/discovery"
	"ledgespread/internal/handover"
	"ledgespread/internal/machine"
)

const (
	maxPending        = 64       // lines to be appended; with more of them the file is written anew
	minRewriteBytes   = 64 << 10 // a file is written anew when the lines behind the first one are longer than that and than the first
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = time.Second
	closePollInterval = 2 * time.Millisecond
	microsPerMilli    = 1000

	// maxFirstBytes is the maximum size of the first line. A file has at most as much behind it, and what is pending then.
	maxFirstBytes = maxFileBytes / 4
)

var errTooLarge = errors.New("the list is too large for a file")

// Recorder writes the file of this process. It writes in a goroutine of its own, so that neither discovery nor decisions wait
// for the disk.
type Recorder struct {
	path, file, sidecar string
	zones               map[string]int
	known               uint64
	log                 zerolog.Logger

	mu      sync.Mutex
	servers discovery.ServerSet // after all updates
	latest  discovery.Update
	at      time.Duration // of the latest update
	pending []line        // to be appended
	rewrite bool          // the file has to be written anew
	writing bool
	closed  bool

	firstBytes, appendedBytes int // of the file; used by the goroutine that writes
}

// NewRecorder returns a recorder for this process, which was started with a saved list. path is the common beginning of the
// paths of all files. Nothing is written before the first update.
func NewRecorder(path, sidecar string, zones map[string]int, known uint64, saved *discovery.List, log zerolog.Logger) *Recorder {
	r := &Recorder{path: path, file: fileOf(path, handover.CurrentProcess()), sidecar: sidecar, zones: zones, known: known, log: log,
		servers: discovery.ServerSet{}, rewrite: true}
	r.servers.Apply(saved)
	return r
}

// Add records a list that this process received or took over. It does not block.
func (r *Recorder) Add(update discovery.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes := r.changesBy(update.List)
	isFirst := r.latest.List == nil
	if r.closed || !isFirst && len(changes.Entries) == 0 && r.latest.IsAsOf(update) {
		return
	}
	r.servers.Apply(changes)
	r.latest, r.at = update, machine.Uptime()
	if next, err := r.encode(changes); err != nil || len(r.pending) >= maxPending {
		r.rewrite = true
	} else {
		r.pending = append(r.pending, next)
	}
	if !r.writing {
		r.writing = true
		go r.run()
	}
}

// changesBy returns what a list changes. The caller holds the lock.
func (r *Recorder) changesBy(list *discovery.List) *discovery.List {
	changes := &discovery.List{Version: list.Version}
	named := map[string]bool{}
	for _, entry := range list.Entries {
		named[entry.Host] = true
		before, listed := r.servers[entry.ID]
		if !list.Whole && !listed && entry.Started == 0 {
			// A server that is new among changes has started a moment ago, whether or not its entry says so.
			entry.Started = brain.Micros(time.Now().UnixMilli()) * microsPerMilli
		} else if listed && entry.Started == 0 {
			entry.Started = before.Started
		}
		if entry != before && (listed || entry.Standing != brain.Gone) {
			changes.Entries = append(changes.Entries, entry)
		}
	}
	if list.Whole {
		for _, entry := range r.servers.Sorted() {
			if !named[entry.Host] {
				entry.Standing = brain.Gone
				changes.Entries = append(changes.Entries, entry)
			}
		}
	}
	return changes
}

// encode returns the line for a list, as of the latest update. The caller holds the lock.
func (r *Recorder) encode(list *discovery.List) (line, error) {
	text, err := list.Encode(r.zones)
	return line{At: r.at, Address: r.latest.Address, Confirmed: r.latest.Confirmed, Epoch: r.latest.Epoch, List: text}, err
}

// run writes until nothing is pending. A disk may be full for a while.
func (r *Recorder) run() {
	wait, failing := initialRetryDelay, false
	for r.goOn() {
		err := r.write()
		if err != nil && !failing {
			r.log.Warn().Err(err).Str("file", r.file).Msg("the list could not be written down for other processes of this sidecar; tried again")
		}
		if err == nil && failing {
			r.log.Info().Msg("the list is written down at last")
		}
		if errors.Is(err, errTooLarge) {
			r.Close(0)
		}
		if failing = err != nil; !failing {
			wait = initialRetryDelay
			continue
		}
		time.Sleep(wait)
		wait = min(2*wait, maxRetryDelay)
	}
}

// goOn reports whether something is to be written. If not, the goroutine ends.
func (r *Recorder) goOn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = !r.closed && (r.rewrite || len(r.pending) > 0)
	return r.writing
}

// write writes what is pending.
func (r *Recorder) write() error {
	r.mu.Lock()
	if !r.rewrite && r.appendedBytes <= max(r.firstBytes, minRewriteBytes) {
		lines := r.pending
		r.pending = nil
		r.mu.Unlock()
		return r.append(lines)
	}
	whole, err := r.encode(&discovery.List{Version: r.latest.List.Version, Whole: true, Entries: r.servers.Sorted()})
	r.rewrite, r.pending = false, nil
	r.mu.Unlock()
	if err == nil {
		whole.Form, whole.Sidecar, whole.Known = form, r.sidecar, r.known
		err = r.replace(whole)
	}
	if err != nil {
		r.writeAnew()
	}
	return err
}

// writeAnew has the next write replace the file.
func (r *Recorder) writeAnew() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rewrite = true
}

// replace replaces the file by one with this line only, by a rename, so that a reader never finds it without one.
func (r *Recorder) replace(whole line) error {
	text, err := encodeLines([]line{whole})
	if err != nil {
		return err
	}
	if len(text) > maxFirstBytes {
		return errTooLarge
	}
	temporary := temporaryOf(r.file)
	if err = os.WriteFile(temporary, text, 0o600); err == nil {
		err = os.Rename(temporary, r.file)
	}
	if err != nil {
		os.Remove(temporary)
		return err
	}
	r.firstBytes, r.appendedBytes = len(text), 0
	return nil
}

// append appends lines to the file. After a failed write the file is written anew: the last line may be unfinished.
func (r *Recorder) append(lines []line) (err error) {
	defer func() {
		if err != nil {
			r.writeAnew()
		}
	}()
	text, err := encodeLines(lines)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(r.file, os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	r.appendedBytes += len(text)
	return cmp.Or(err, file.Close())
}

// encodeLines returns the lines as a file has them.
func encodeLines(lines []line) (text []byte, err error) {
	for _, next := range lines {
		encoded, err := json.Marshal(next)
		if err != nil {
			return nil, err
		}
		text = append(append(text, encoded...), '\n')
	}
	return text, nil
}

// Flush waits until all updates are written, for at most the given time. It reports whether they are.
func (r *Recorder) Flush(wait time.Duration) (written bool) {
	for end := time.Now().Add(wait); time.Now().Before(end) && r.isWriting(); {
		time.Sleep(closePollInterval)
	}
	return !r.isWriting()
}

// Close is like Flush, and gives up the rest.
func (r *Recorder) Close(wait time.Duration) {
	r.Flush(wait)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

func (r *Recorder) isWriting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writing
}
