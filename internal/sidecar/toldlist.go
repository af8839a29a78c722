package sidecar

import (
	"time"

	"github.com/rs/zerolog"

	"ledgespread/internal/discovery"
	"ledgespread/internal/handover"
	"ledgespread/internal/relay"
	"ledgespread/internal/site"
	"ledgespread/internal/toldlist"
)

const (
	// readListTimeout is how long a start waits for the disk to read what another process was told.
	readListTimeout = 200 * time.Millisecond
	// writeListTimeout is how long the own list may take to be written before files of earlier processes are kept.
	writeListTimeout = time.Second
)

// toldList is what discovery told the processes of this sidecar. Its zero value knows of no other process.
type toldList struct {
	start    toldlist.Start
	recorder *toldlist.Recorder // nil: nothing is recorded
	reader   *toldlist.Reader
}

// open chooses the list that this process begins with, and prepares the record of what it is told.
func (t *toldList) open(path string, manifest *site.Manifest, log zerolog.Logger) {
	zones := manifest.IndexesByName("azs")
	list, err := discovery.Read(manifest.SavedList, zones)
	if err != nil {
		return // the start fails over it
	}
	saved := toldlist.Saved{List: list, Fingerprint: toldlist.Fingerprint(list, zones), Address: manifest.Discovery}
	t.reader = toldlist.NewReader(path, manifest.Name, zones, log)
	t.start = t.choose(saved, log)
	t.recorder = toldlist.NewRecorder(path, manifest.Name, zones, saved.Fingerprint, t.start.List, log)
}

// begin gives the relay the chosen list, and has the recorder record what the relay is told from then on.
func (t *toldList) begin(r *relay.Relay) {
	if t.recorder == nil {
		return
	}
	if t.start.From != nil {
		r.BeginWith(t.start.Update)
		t.recorder.Add(t.start.Update)
	}
	r.RecordLists(t.recorder.Add)
}

// choose reads what an earlier process was told, and chooses. A slow disk doesn't delay the start: the saved list counts then.
func (t *toldList) choose(saved toldlist.Saved, log zerolog.Logger) toldlist.Start {
	chosen := make(chan toldlist.Start, 1)
	reader := t.reader
	go func() {
		told, runs := reader.Latest()
		chosen <- toldlist.Choose(saved, told, runs)
	}()
	select {
	case start := <-chosen:
		logStart(start, log)
		return start
	case <-time.After(readListTimeout):
		t.reader = reader.Anew()
		log.Warn().Msg("what another process of this sidecar was told can't be read in time; passed over")
		return toldlist.Choose(saved, nil, false)
	}
}

// logStart logs which list the process begins with.
func logStart(start toldlist.Start, log zerolog.Logger) {
	entry := log.Info().Uint64("version", start.List.Version).Int("servers", len(start.List.Entries))
	if from := start.From; from != nil {
		entry.Str("discovery", from.Address).Uint64("told_version", from.List.Version).Stringer("process", from.Writer).Dur("told_ago", from.Age()).
			Msg("begins with the list of another process of this sidecar")
		return
	}
	entry.Msg("begins with the saved list")
}

// follow takes over what other processes were told since the last call.
func (t *toldList) follow(r *relay.Relay, processes []handover.Process) {
	if t.reader == nil {
		return
	}
	for _, process := range processes {
		if told := t.reader.Changed(process); told != nil {
			r.TakeOverList(told.Update)
		}
	}
}

// removeOld removes the files of processes that have ended, once this process has written what it took over from them.
func (t *toldList) removeOld() {
	if t.recorder != nil && t.recorder.Flush(writeListTimeout) {
		t.reader.RemoveOld()
	}
}

// close writes what was told last before the process ends.
func (t *toldList) close() {
	if t.recorder != nil {
		t.recorder.Close(finalWriteTimeout)
	}
}
