package comfreyprocess

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyplatform"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrpc"
)

// peerTimeout bounds a call to another process about the configuration, or the
// silence of one that sends files.
const peerTimeout = 1500 * time.Millisecond

// digestToWire converts a digest, with the sender that others can ask back.
func digestToWire(d comfreyconfig.Digest, self comfreyconfig.Peer) *comfreyproto.Digest {
	return &comfreyproto.Digest{
		Number:      d.Number,
		Hash:        d.Hash[:],
		HostsNumber: d.HostsNumber,
		HostsHash:   d.HostsHash[:],
		Conflict:    d.Conflict,
		Address:     self.Address,
		DataCentre:  self.DataCentre,
	}
}

// digestFromWire converts a digest. It reports false for a malformed one.
func digestFromWire(m *comfreyproto.Digest) (comfreyconfig.Digest, comfreyconfig.Peer, bool) {
	d := comfreyconfig.Digest{Number: m.GetNumber(), HostsNumber: m.GetHostsNumber(), Conflict: m.GetConflict()}
	p := comfreyconfig.Peer{Address: m.GetAddress(), DataCentre: m.GetDataCentre()}
	if len(m.GetHash()) != len(d.Hash) || len(m.GetHostsHash()) != len(d.HostsHash) {
		return d, p, false
	}
	copy(d.Hash[:], m.Hash)
	copy(d.HostsHash[:], m.HostsHash)
	return d, p, true
}

// exchange returns the function by which an agent compares digests with peers.
func exchange(c *comfreyrpc.Client, self comfreyconfig.Peer) comfreyplatform.ExchangeFunc {
	return func(ctx context.Context, p comfreyconfig.Peer, d comfreyconfig.Digest) (comfreyconfig.Digest, error) {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		m, err := c.Peer(p.Address).Exchange(ctx, digestToWire(d, self))
		if err != nil {
			return comfreyconfig.Digest{}, err
		}
		r, _, ok := digestFromWire(m)
		if !ok {
			return r, fmt.Errorf("comfreyprocess: %s sent a malformed digest", p.Address)
		}
		return r, nil
	}
}

// fetch returns the function by which an agent asks peers for blobs.
func fetch(c *comfreyrpc.Client) comfreyplatform.FetchFunc {
	return func(ctx context.Context, p comfreyconfig.Peer, hashes []comfreyconfig.Hash) ([][]byte, error) {
		r := &comfreyproto.FetchRequest{}
		for _, h := range hashes {
			r.Hashes = append(r.Hashes, h[:])
		}
		m, err := c.PeerTransfers(p.Address, comfreyconnection.Timeouts{Header: peerTimeout, Silence: peerTimeout}).Fetch(ctx, r)
		if err != nil {
			return nil, err
		}
		return m.Blobs, nil
	}
}

// peerService serves the other processes of the fleet.
type peerService struct {
	self     comfreyconfig.Peer
	agent    *comfreyplatform.Agent
	recorder *comfreydecision.Recorder
}

// Exchange implements the twirp service.
func (s *peerService) Exchange(_ context.Context, m *comfreyproto.Digest) (*comfreyproto.Digest, error) {
	s.hear(m)
	return digestToWire(s.agent.Digest(), s.self), nil
}

// hear tells the agent of a digest that came with a message.
func (s *peerService) hear(m *comfreyproto.Digest) {
	if m == nil {
		return
	}
	d, p, ok := digestFromWire(m)
	if ok {
		s.agent.ObserveDigest(p, d)
	}
}

// digest returns what to attach to messages.
func (s *peerService) digest() *comfreyproto.Digest {
	return digestToWire(s.agent.Digest(), s.self)
}

// Fetch implements the twirp service.
func (s *peerService) Fetch(_ context.Context, m *comfreyproto.FetchRequest) (*comfreyproto.FetchReply, error) {
	var hashes []comfreyconfig.Hash
	for _, b := range m.Hashes {
		var h comfreyconfig.Hash
		if len(b) == len(h) {
			copy(h[:], b)
			hashes = append(hashes, h)
		}
	}
	return &comfreyproto.FetchReply{Blobs: s.agent.Serve(hashes)}, nil
}

// Decisions implements the twirp service.
func (s *peerService) Decisions(_ context.Context, m *comfreyproto.DecisionsRequest) (*comfreyproto.DecisionsReply, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	for _, d := range s.recorder.ForRequest(m.RequestId) {
		if err := e.Encode(d); err != nil {
			return nil, fmt.Errorf("comfreyprocess: %w", err)
		}
	}
	return &comfreyproto.DecisionsReply{Lines: b.Bytes()}, nil
}
