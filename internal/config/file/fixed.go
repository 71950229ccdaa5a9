package file

import "github.com/siskinrill/siskinrill/internal/wire/controlpb"

// Fixed is a change of a service that control refuses, because the setting is fixed once the service exists.
type Fixed struct{ source, service, key, old, current string }

// Service returns the name of the service.
func (fix *Fixed) Service() string { return fix.service }

// Source returns the file and line of the service as FILE:LINE.
func (fix *Fixed) Source() string { return fix.source }

// Key returns the setting: partitions or keys.
func (fix *Fixed) Key() string { return fix.key }

// String returns the change as FILE:LINE: KEY: MESSAGE.
func (fix *Fixed) String() string {
	return fix.source + ": service." + fix.service + "." + fix.key + ": changes from " + fix.old + " to " + fix.current +
		", but is fixed once the service exists; such a change is refused"
}

// FixedChanges returns the changes from one configuration to another that control refuses, in the order of the services.
func FixedChanges(old, cur *controlpb.Configuration) []*Fixed {
	before := map[string]*controlpb.Service{}
	for _, svc := range old.GetServices() {
		before[svc.GetName()] = svc
	}
	var out []*Fixed
	for _, svc := range cur.GetServices() {
		bef := before[svc.GetName()]
		if bef == nil {
			continue
		}
		add := func(key, one, two string) {
			if one != two {
				out = append(out, &Fixed{source: svc.GetSource(), service: svc.GetName(), key: key, old: one, current: two})
			}
		}
		add("keys", keysText(bef.GetKeyMode()), keysText(svc.GetKeyMode()))
		// Without keys there are no partitions, so that a change from or to none is reported once.
		if bef.GetPartitions() > 0 && svc.GetPartitions() > 0 {
			add("partitions", formatUint(uint64(bef.GetPartitions())), formatUint(uint64(svc.GetPartitions())))
		}
	}
	return out
}
