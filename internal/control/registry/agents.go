package registry

import (
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// forAgents returns a configuration without the source texts, which only operators read back.
func forAgents(cnf *controlpb.Configuration) *controlpb.Configuration {
	return &controlpb.Configuration{
		Number: cnf.GetNumber(), Limits: cnf.GetLimits(),
		Services: servicesForAgents(cnf.GetServices()), Routes: routesForAgents(cnf.GetRoutes()),
	}
}

func servicesForAgents(services []*controlpb.Service) []*controlpb.Service {
	out := make([]*controlpb.Service, 0, len(services))
	for _, svc := range services {
		cpy := proto.CloneOf(svc)
		cpy.Document, cpy.Source = "", ""
		out = append(out, cpy)
	}
	return out
}

func routesForAgents(routes []*controlpb.Route) []*controlpb.Route {
	out := make([]*controlpb.Route, 0, len(routes))
	for _, rou := range routes {
		cpy := proto.CloneOf(rou)
		cpy.Document, cpy.Source = "", ""
		out = append(out, cpy)
	}
	return out
}
