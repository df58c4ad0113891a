package comfreygossip

import (
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreycell"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreystorecache"
)

const (
	// maxChangesSize is the size in bytes of the changes in one datagram.
	maxChangesSize = 1000
	// maxChangeDatagrams bounds the datagrams for one response of the store. More
	// changes, and large ones, are left to exchanges.
	maxChangeDatagrams = 8
)

// ShareStoreChanges sends a response of the store to the own cell, and to the
// other cells if this gateway is a relay. It holds the changes after a version
// and up to another one of the same era; without any, it confirms that the store
// caches are current. If the two versions are the same, the changes are some of
// those after them, and do not complete a store cache. Gateways that miss a datagram
// request the changes in an exchange.
func (g *Gossip) ShareStoreChanges(after, version comfreystorecache.Version, changes []comfreystorecache.Item) {
	l := g.Layout()
	to := l.Members()
	for _, t := range l.RelayTargets() {
		to = append(to, t.Address)
	}
	age, _ := g.config.DirectStoreAge()
	for _, d := range storeDatagrams(after.Revision, version.Revision, changes) {
		d.Cell, d.DataCentre, d.Sender, d.Era = string(l.Own()), g.config.DataCentre, g.config.Address, version.Era
		d.AgeMillis = uint64(max(age, 0).Milliseconds())
		g.send(kindStoreChanges, &comfreyproto.PlacementDatagram{Store: d}, g.datagramAddresses(to)...)
	}
}

// storeDatagrams splits changes into datagrams. Each of them completes a store
// cache that the datagrams before it have completed. Large changes are left out, and
// those that do not fit; from there on the datagrams name the revision only, so that
// the others request them in an exchange, and contain the small changes in between,
// which need not wait for it.
func storeDatagrams(after, revision uint64, changes []comfreystorecache.Item) []*comfreyproto.StoreDatagram {
	changes = slices.Clone(changes)
	slices.SortFunc(changes, comfreystorecache.CompareRevision)
	var l []*comfreyproto.StoreDatagram
	d := &comfreyproto.StoreDatagram{After: after, Complete: revision}
	size := 0
	isPartial := after == revision
	// next ends the present datagram before a change.
	next := func(x comfreystorecache.Item) {
		if !isPartial {
			d.Complete = min(revision, x.Revision-1)
		}
		if len(d.Changes) > 0 || d.Complete > d.After {
			l = append(l, d)
		}
		d, size = &comfreyproto.StoreDatagram{After: d.Complete, Complete: revision}, 0
	}
	for _, x := range changes {
		n := len(x.Key) + len(x.Value)
		if len(l) == maxChangeDatagrams {
			return append(l, &comfreyproto.StoreDatagram{After: revision, Complete: revision})
		}
		if n > maxChangesSize {
			next(x)
			d.After, isPartial = revision, true
			continue
		}
		if size+n > maxChangesSize {
			next(x)
		}
		size += n
		d.Changes = append(d.Changes, &comfreyproto.StoreItem{Key: x.Key, Revision: x.Revision, Value: x.Value, Deleted: x.IsDeleted})
	}
	return append(l, d)
}

// minAgeGain is by how much a confirmation must lower the store age to be passed
// on. It stops datagrams that arrive on several ways.
const minAgeGain = 200 * time.Millisecond

// receiveStoreChanges merges a response of the store that another gateway sent. A
// relay passes those of its own cell on to the other cells. The receiving gateway
// of another cell passes them on to its cell and, if they come from another data
// centre, to the other cells of its own. They are passed on at once, so that the
// store age in them is not too low by more than the time on the way.
func (g *Gossip) receiveStoreChanges(d *comfreyproto.StoreDatagram) {
	known := g.config.StoreVersion()
	version := comfreystorecache.Version{Era: d.Era, Revision: d.Complete}
	after := comfreystorecache.Version{Era: d.Era, Revision: d.After}
	age := time.Duration(d.AgeMillis) * time.Millisecond
	ownAge, isKnown := g.config.StoreAge()
	m := StoreUpdate{Gateway: d.Sender, After: after, HasStoreAge: true, StoreAge: age}
	m.Version = version
	for _, x := range d.Changes {
		m.Items = append(m.Items, decodeItem(x))
	}
	// Changes after one that this gateway lacks need not wait for it.
	isPartial := len(m.Items) > 0 && (after == version || after.Compare(known) > 0)
	isNew := isPartial && g.config.MergeStorePartial(d.Sender, version, m.Items)
	if c := version.Compare(known); !isNew && (c < 0 || c == 0 && isKnown && ownAge < age+minAgeGain) {
		return
	}
	if to := g.storeTargets(g.Layout(), d); len(to) > 0 {
		g.send(kindStoreChanges, &comfreyproto.PlacementDatagram{Store: &comfreyproto.StoreDatagram{
			Cell: d.Cell, DataCentre: d.DataCentre, Sender: g.config.Address, After: d.After, Complete: d.Complete, Era: d.Era, Changes: d.Changes, AgeMillis: d.AgeMillis,
		}}, g.datagramAddresses(to)...)
	}
	if after.Compare(known) > 0 {
		g.requestIfNewer(d.Sender, version)
		return
	}
	g.config.MergeStore(m)
}

// storeTargets returns the gateways to which a response of the store is passed on.
func (g *Gossip) storeTargets(l comfreycell.Layout, d *comfreyproto.StoreDatagram) []string {
	isOwnCell := d.Cell == string(l.Own())
	if !isOwnCell && slices.Contains(l.Members(), d.Sender) {
		return nil
	}
	var to []string
	if !isOwnCell {
		to = l.LiveMembers()
	}
	for _, t := range l.RelayTargets() {
		if isOwnCell || t.IsSameDataCentre && d.DataCentre != g.config.DataCentre {
			to = append(to, t.Address)
		}
	}
	return to
}

func decodeItem(x *comfreyproto.StoreItem) comfreystorecache.Item {
	return comfreystorecache.Item{Key: x.Key, Revision: x.Revision, Value: x.Value, IsDeleted: x.Deleted}
}
