package settings

import (
	"net/netip"
	"strings"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill/internal/config/source"
)

// Loopback reports whether an IP:port can be reached from this host only.
func Loopback(adr string) bool {
	apo, err := netip.ParseAddrPort(adr)
	return err == nil && apo.Addr().IsLoopback()
}

// CheckAddress returns an error unless the text is an IP:port that other processes can connect to.
func CheckAddress(adr string) error {
	apo, err := netip.ParseAddrPort(adr)
	if err != nil {
		return errors.Errorf("is %q; must be IP:port", adr)
	}
	if apo.Port() == 0 {
		return errors.Errorf("is %q; allowed ports: 1 to 65535", adr)
	}
	if apo.Addr().IsUnspecified() {
		return errors.Errorf("is %q; must be an address that others can connect to", adr)
	}
	return nil
}

func address(key string, dst *string) source.Field {
	return source.Text(key, dst).Checked(func() error { return CheckAddress(*dst) })
}

func addresses(key string, dst *[]string) source.Field {
	return source.Texts(key, dst).Checked(func() error {
		seen := map[string]bool{}
		for _, adr := range *dst {
			if err := CheckAddress(adr); err != nil {
				return err
			}
			if seen[adr] {
				return errors.Errorf("names %s twice", adr)
			}
			seen[adr] = true
		}
		if len(*dst) == 0 {
			return errors.New("must name at least one address")
		}
		return nil
	})
}

// addressSetting is an address in a settings file with its section and key.
type addressSetting struct{ section, key, address string }

// checkDistinct reports addresses that are set under more than one key.
func (doc *document) checkDistinct(pls ...addressSetting) {
	first := map[string]addressSetting{}
	for _, plc := range pls {
		if plc.address == "" {
			continue
		}
		if old, dup := first[plc.address]; dup {
			doc.checker.Add(
				doc.position(plc.section, plc.key), plc.section+"."+plc.key,
				"is %s like %s.%s; the addresses must differ", plc.address, old.section, old.key,
			)
			continue
		}
		first[plc.address] = plc
	}
}

// parseMembers returns the addresses by name and the names in order from NAME=IP:PORT items, and checks that the item of
// this process itself has the address that it listens on.
func (doc *document) parseMembers(mbs []string, own, lis string) (map[string]string, []string) {
	out, used := map[string]string{}, map[string]string{}
	var odr []string
	add := func(msg string, args ...any) {
		doc.checker.Add(doc.position("control", "initial_members"), "control.initial_members", msg, args...)
	}
	for _, mbr := range mbs {
		nam, adr, fnd := strings.Cut(mbr, "=")
		switch {
		case !fnd || nam == "" || CheckAddress(adr) != nil:
			add("%q must be NAME=IP:port", mbr)
		case out[nam] != "":
			add("names %s twice", nam)
		case used[adr] != "":
			add("%s and %s have the same address %s", used[adr], nam, adr)
		case nam == own && adr != lis:
			add("has %s at %s, but control.listen is %s", nam, adr, lis)
		default:
			out[nam], used[adr] = adr, nam
			odr = append(odr, nam)
		}
	}
	return out, odr
}
