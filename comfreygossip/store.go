package comfreygossip

import (
	"slices"

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

// ShareStoreChanges sends changes that this gateway received from the store to
// its cell, and to the other cells if it is a relay. They are those after a
// revision and up to another. Gateways that miss a datagram request the changes
// in an exchange.
func (g *Gossip) ShareStoreChanges(after, revision uint64, changes []comfreystorecache.Item) {
	l := g.Layout()
	to := g.datagramAddresses(l.Members())
	for _, t := range l.RelayTargets() {
		to = append(to, g.datagramAddresses([]string{t.Address})...)
	}
	for _, d := range storeDatagrams(after, revision, changes) {
		d.Cell, d.Sender = string(l.Own()), g.config.Address
		g.send(&comfreyproto.PlacementDatagram{Store: d}, to...)
	}
}

// storeDatagrams splits changes into datagrams. Each of them completes a store
// cache that the datagrams before it have completed.
func storeDatagrams(after, revision uint64, changes []comfreystorecache.Item) []*comfreyproto.StoreDatagram {
	changes = slices.Clone(changes)
	slices.SortFunc(changes, comfreystorecache.CompareRevision)
	var l []*comfreyproto.StoreDatagram
	d := &comfreyproto.StoreDatagram{After: after, Complete: revision}
	size := 0
	for _, x := range changes {
		n := len(x.Key) + len(x.Value)
		if n > maxChangesSize {
			return l
		}
		if size+n > maxChangesSize {
			d.Complete = x.Revision - 1
			l = append(l, d)
			if len(l) == maxChangeDatagrams {
				return l
			}
			d, size = &comfreyproto.StoreDatagram{After: d.Complete, Complete: revision}, 0
		}
		size += n
		d.Changes = append(d.Changes, &comfreyproto.StoreItem{Key: x.Key, Revision: x.Revision, Value: x.Value, Deleted: x.IsDeleted})
	}
	return append(l, d)
}

// receiveStoreChanges merges changes of the store that another gateway sent. A
// relay passes those of its own cell on to the other cells, and the receiving
// gateway of another cell passes them on to its cell.
func (g *Gossip) receiveStoreChanges(d *comfreyproto.StoreDatagram) {
	known := g.config.StoreRevision()
	if d.Complete <= known {
		return
	}
	l := g.Layout()
	var to []string
	switch {
	case d.Cell == string(l.Own()):
		for _, t := range l.RelayTargets() {
			to = append(to, t.Address)
		}
	case !slices.Contains(l.Members(), d.Sender):
		to = l.LiveMembers()
	}
	if len(to) > 0 {
		g.send(&comfreyproto.PlacementDatagram{Store: &comfreyproto.StoreDatagram{
			Cell: d.Cell, Sender: g.config.Address, After: d.After, Complete: d.Complete, Changes: d.Changes,
		}}, g.datagramAddresses(to)...)
	}
	if d.After > known {
		g.requestIfNewer(d.Sender, d.Complete)
		return
	}
	m := StoreUpdate{Gateway: d.Sender, Revision: d.Complete}
	for _, x := range d.Changes {
		m.Items = append(m.Items, decodeItem(x))
	}
	g.config.MergeStore(m)
}

func decodeItem(x *comfreyproto.StoreItem) comfreystorecache.Item {
	return comfreystorecache.Item{Key: x.Key, Revision: x.Revision, Value: x.Value, IsDeleted: x.Deleted}
}
