package sidecar

import (
	"time"

	"ledgespread/internal/discovery"
	"ledgespread/internal/handover"
	"ledgespread/internal/site"
)

// minListWriteInterval is the shortest time between two writes of the list that is handed over.
const minListWriteInterval = 100 * time.Millisecond

// startManifest returns the manifest to start the relay with: with the list that an old process, which still serves, has handed
// over, if that is no older than the saved one. While discovery is out of reach nobody else could say which servers have left.
// Versions of another address can't be compared, and such a list is not used.
func (p *process) startManifest() *site.Manifest {
	if p.state == nil || !p.hasPredecessor() {
		return p.Manifest
	}
	handed, ok, err := p.state.ReadList()
	if err != nil {
		p.Log.Warn().Err(err).Msg("the list that the old process handed over can't be read; passed over")
	}
	if !ok || handed.Discovery != p.Manifest.Discovery {
		return p.Manifest
	}
	zones := p.Manifest.IndexesByName("azs")
	list, err := discovery.Read(handed.List, zones)
	if err != nil || !list.Whole {
		p.Log.Warn().Err(err).Msg("the list that the old process handed over can't be read; passed over")
		return p.Manifest
	}
	if saved, err := discovery.Read(p.Manifest.SavedList, zones); err != nil || list.Version < saved.Version {
		return p.Manifest
	}
	p.Log.Info().Uint64("version", list.Version).Int("servers", len(list.Entries)).Msg("the old process handed over its list")
	manifest := *p.Manifest
	manifest.SavedList = handed.List
	return &manifest
}

// handOverList keeps the file of the list up to date, for the process that is started after this one.
func (p *process) handOverList(state *handover.State) {
	latest := make(chan *discovery.List, 1)
	p.relay.ReportServers(func(list *discovery.List) {
		for {
			select {
			case latest <- list:
				return
			default:
			}
			select { // replaced by the newer one
			case <-latest:
			default:
			}
		}
	})
	zones := p.Manifest.IndexesByName("azs")
	go func() {
		failing := false
		for list := range latest {
			if state.Replaced() { // the list is the newer process's to hand over
				continue
			}
			text, err := list.Encode(zones)
			if err == nil {
				err = state.WriteList(handover.HandedList{Discovery: list.Source, List: text})
			}
			if err != nil && !failing {
				p.Log.Warn().Err(err).Msg("the list could not be written down for the next process")
			}
			failing = err != nil
			time.Sleep(minListWriteInterval)
		}
	}()
}
