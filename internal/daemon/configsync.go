package daemon

import (
	"context"

	"cicadaslip/internal/errs"
)

// configService serves configurations to other VMs.
const configService = "Config"

// ConfigRequest asks for the root, or for a part by its digest.
type ConfigRequest struct{ Digest string }

// ConfigReply holds the encoded root or part.
type ConfigReply struct {
	Data []byte
	Err  *errs.Error
}

// configRPC answers from the configuration in force.
type configRPC struct{ d *Daemon }

// Root returns the encoded root in force.
func (s *configRPC) Root(_ *ConfigRequest, reply *ConfigReply) error {
	data, ok := s.d.follower.Root()
	if !ok {
		reply.Err = errs.New(errs.NotFound, "no configuration is in force")
	}
	reply.Data = data
	return nil
}

// Part returns a part of the configuration in force.
func (s *configRPC) Part(request *ConfigRequest, reply *ConfigReply) error {
	data, ok := s.d.follower.Part(request.Digest)
	if !ok {
		reply.Err = errs.New(errs.NotFound, "the part is not in force here")
	}
	reply.Data = data
	return nil
}

// configPeers implements config.Peers: it asks the peer that has announced the
// newest version.
type configPeers struct{ d *Daemon }

// Root implements config.Peers.
func (p configPeers) Root(ctx context.Context) ([]byte, error) {
	return p.ask(ctx, configService+".Root", ConfigRequest{})
}

// Part implements config.Peers.
func (p configPeers) Part(ctx context.Context, digest string) ([]byte, error) {
	return p.ask(ctx, configService+".Part", ConfigRequest{Digest: digest})
}

func (p configPeers) ask(ctx context.Context, method string, request ConfigRequest) ([]byte, error) {
	holder, found := p.d.members.newestConfig()
	if !found {
		return nil, errs.New(errs.PeerUnavailable, "no reachable peer has a newer configuration")
	}
	callCtx, cancel := context.WithTimeout(ctx, p.d.settings.Platform.CallTimeout)
	defer cancel()
	var reply ConfigReply
	if err := p.d.call(callCtx, holder.VM, method, &request, &reply); err != nil {
		return nil, err
	}
	if reply.Err != nil {
		return nil, reply.Err
	}
	return reply.Data, nil
}
