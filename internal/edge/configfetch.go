package edge

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/objectstore"
)

const (
	// maxInlineConfig is the size in bytes up to which a configuration is part of the reply to
	// a sync call. A larger one is fetched by a call of its own: a VM makes sync calls to
	// several owners at a time, which have a short time limit.
	maxInlineConfig = 4 << 10
	// configFetchTimeout limits the fetch of a configuration, which takes some tenths of a
	// second over a slow link.
	configFetchTimeout = 1500 * time.Millisecond
)

// deferConfig leaves a large configuration out of an update.
func deferConfig(u *grouprpc.ConfigUpdate) {
	if len(u.Value) > maxInlineConfig {
		u.Value, u.Deferred = nil, true
	}
}

// deflatedSince returns the update of updateSince with a compressed configuration.
func (c *configCache) deflatedSince(at objectstore.Position, version uint64) (grouprpc.ConfigReply, error) {
	reply := grouprpc.ConfigReply{Update: c.updateSince(at, version)}
	value := reply.Update.Value
	if reply.Update.Value = nil; len(value) == 0 {
		return reply, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision == reply.Update.Revision && c.deflated != nil {
		reply.Deflated = c.deflated
		return reply, nil
	}
	deflated, err := deflate(value)
	if err != nil {
		return grouprpc.ConfigReply{}, err
	}
	if c.revision == reply.Update.Revision {
		c.deflated = deflated
	}
	reply.Deflated = deflated
	return reply, nil
}

func deflate(value []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(value)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "compress the configuration")
	}
	return b.Bytes(), nil
}

// inflate decompresses a configuration. It fails for one that is larger than an object of
// the store can be.
func inflate(deflated []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(deflated)), objectstore.MaxValueBytes+1))
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidMessage, "decompress the configuration of another VM")
	}
	if len(value) > objectstore.MaxValueBytes {
		return nil, errs.New(errs.TooLarge, "the configuration of another VM is too large")
	}
	return value, nil
}

// fetchConfig fetches the configuration of an owner in the background, unless one is being
// fetched. After a failure the next reply to a sync call leads to another attempt.
func (d *Daemon) fetchConfig(address string) {
	if d.fetchingConfig.Swap(true) {
		return
	}
	go func() {
		defer d.fetchingConfig.Store(false)
		if err := d.fetchConfigNow(address); err != nil {
			d.log.Warn().Err(err).Str(fieldEvent, "config_fetch_failed").Str(fieldAddress, address).Send()
		}
	}()
}

func (d *Daemon) fetchConfigNow(address string) (err error) {
	defer d.contain("config_fetch", &err)
	ctx, cancel := context.WithTimeout(context.Background(), configFetchTimeout)
	defer cancel()
	var reply grouprpc.ConfigReply
	request := grouprpc.ConfigRequest{Known: d.config.appliedRevision(), Version: d.configVersion()}
	if err := d.peerClient.Call(ctx, address, grouprpc.ConfigMethod, request, &reply); err != nil {
		return err
	}
	if len(reply.Deflated) > 0 {
		if reply.Update.Value, err = inflate(reply.Deflated); err != nil {
			return err
		}
	}
	d.applyConfigUpdate(&reply.Update)
	return nil
}

// applyConfigUpdate applies the configuration that another VM has sent.
func (d *Daemon) applyConfigUpdate(u *grouprpc.ConfigUpdate) {
	if u.Deferred {
		return
	}
	if len(u.Value) > 0 {
		d.applyConfig(u.Value, u.Revision, sourceRelay)
	}
	d.config.advance(u.Since, u.AsOf)
}
