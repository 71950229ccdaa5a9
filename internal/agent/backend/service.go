package backend

import "github.com/siskinrill/siskinrill/internal/wire/controlpb"

// service returns the configuration of a service, or the last known one while the configuration does not name it, nil if none was ever
// known. What the server was granted before does not end with the service. Grants need a service that is configured (Options.Service).
func (cli *Client) service(name string) *controlpb.Service {
	if cli.opt.Service == nil {
		return nil
	}
	if svc := cli.opt.Service(name); svc != nil {
		cli.lastService.Store(svc)
		return svc
	}
	if svc := cli.lastService.Load(); svc.GetName() == name {
		return svc
	}
	return nil
}

// refreshService reads the partitions of the server's service again, which may have changed since its last heartbeat.
func (cli *Client) refreshService() {
	cli.mu.Lock()
	ann := cli.ann
	cli.mu.Unlock()
	if ann != nil && ann.HoldsKeys {
		cli.keys.setService(cli.service(ann.Service))
	}
}
