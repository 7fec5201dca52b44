package daemon

import (
	"context"

	"cicadaslip/internal/errs"
)

// configService is the name of the RPC service that provides the configuration
// to other VMs.
const configService = "Config"

// ConfigRequest asks for the root of the configuration (empty Digest) or for
// the part with the given digest.
type ConfigRequest struct{ Digest string }

// ConfigReply contains the encoded root or part in Data, or the refusal in Err.
type ConfigReply struct {
	Data []byte
	Err  *errs.Error
}

// configRPC serves the root and the parts of the configuration in force.
type configRPC struct{ d *Daemon }

// Root returns the encoded root of the configuration in force.
func (s *configRPC) Root(_ *ConfigRequest, reply *ConfigReply) error {
	data, ok := s.d.follower.Root()
	if !ok {
		reply.Err = errs.New(errs.NotFound, "no configuration is in force")
	}
	reply.Data = data
	return nil
}

// Part returns the encoded part of the configuration in force that has the
// requested digest.
func (s *configRPC) Part(request *ConfigRequest, reply *ConfigReply) error {
	data, ok := s.d.follower.Part(request.Digest)
	if !ok {
		reply.Err = errs.New(errs.NotFound, "the configuration in force on this VM has no part with this digest")
	}
	reply.Data = data
	return nil
}

// configPeers implements config.Peers. It fetches from a peer that has
// announced the newest version.
type configPeers struct{ d *Daemon }

// Root implements config.Peers.
func (p configPeers) Root(ctx context.Context) ([]byte, error) {
	return p.fetch(ctx, configService+".Root", ConfigRequest{})
}

// Part implements config.Peers.
func (p configPeers) Part(ctx context.Context, digest string) ([]byte, error) {
	return p.fetch(ctx, configService+".Part", ConfigRequest{Digest: digest})
}

// fetch calls a method of the config service of a peer with the newest
// announced version.
func (p configPeers) fetch(ctx context.Context, method string, request ConfigRequest) ([]byte, error) {
	peer, found := p.d.members.peerWithNewestConfig()
	if !found {
		return nil, errs.New(errs.PeerUnavailable, "no reachable peer has a newer configuration")
	}
	callCtx, cancel := context.WithTimeout(ctx, p.d.settings.Platform.CallTimeout)
	defer cancel()
	var reply ConfigReply
	if err := p.d.call(callCtx, peer.VM, method, &request, &reply); err != nil {
		return nil, err
	}
	if reply.Err != nil {
		return nil, reply.Err
	}
	return reply.Data, nil
}
