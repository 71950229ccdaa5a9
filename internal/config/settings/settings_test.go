package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill/internal/config/settings"
	"github.com/siskinrill/siskinrill/internal/config/source"
	"github.com/siskinrill/siskinrill/internal/host/ingress"
)

const (
	controlText = `[control]
name = "c1"
zone = "in-west-a"
region = "in-west"
listen = "127.0.0.1:9101"
data = "data/c1"
initial_members = ["c1=127.0.0.1:9101", "c2=127.0.0.1:9102"]
[admin]
listen = "127.0.0.1:9201"
`
	agentText = `[agent]
name = "a1"
zone = "in-west-a"
region = "in-west"
caller_listen = "127.0.0.1:9301"
peer_listen = "127.0.0.1:9302"
backend_listen = "127.0.0.1:9303"
control = ["127.0.0.1:9101", "127.0.0.1:9102"]
drain_timeout = "20s"
[log]
level = "warn"
format = "json"
`
	standinText = `[standin]
id = "s1"
service = "shadefinder"
listen = "127.0.0.1:9401"
agent = "127.0.0.1:9303"
`
)

// parse parses the settings of the role whose section the text has, and returns the error.
func parse(txt string) error {
	switch {
	case strings.Contains(txt, "caller_listen"):
		_, err := settings.ParseAgent("s.toml", []byte(txt))
		return err
	case strings.Contains(txt, "slots") || strings.Contains(txt, "service ="):
		_, err := settings.ParseStandin("s.toml", []byte(txt))
		return err
	default:
		_, err := settings.ParseControl("s.toml", []byte(txt))
		return err
	}
}

// TestErrors guards against invalid settings that are accepted, or reported without the file, line, key or allowed range.
func TestErrors(t *testing.T) {
	for nam, tcs := range map[string]struct{ text, old, new, want string }{
		"misspelt key":       {controlText, "data =", "date =", "s.toml:6: control.date: unknown key; did you mean data?"},
		"missing key":        {controlText, "zone = \"in-west-a\"\n", "", "s.toml:1: control.zone: is missing"},
		"misspelt section":   {controlText, "[admin]", "[admim]", "s.toml:8: admim: unknown section; did you mean admin?; allowed: [control], [admin], [log]"},
		"wrong role":         {controlText, "[control]", "[agent]", "s.toml: control: section [control] is missing"},
		"wrong type":         {controlText, `"c1"`, "1", "s.toml:2: control.name: must be a string, not a whole number"},
		"empty":              {controlText, `"c1"`, `""`, "s.toml:2: control.name: must not be empty"},
		"address":            {controlText, `"127.0.0.1:9101"`, `"localhost"`, "s.toml:5: control.listen: is \"localhost\"; must be IP:port"},
		"port":               {controlText, `"127.0.0.1:9101"`, `"127.0.0.1:0"`, "s.toml:5: control.listen: is \"127.0.0.1:0\"; allowed ports: 1 to 65535"},
		"unspecified":        {controlText, `"127.0.0.1:9101"`, `"0.0.0.0:9101"`, "s.toml:5: control.listen: is \"0.0.0.0:9101\"; must be an address that others can connect to"},
		"equal addresses":    {controlText, "9201", "9101", "s.toml:9: admin.listen: is 127.0.0.1:9101 like control.listen; the addresses must differ"},
		"token":              {controlText, "127.0.0.1:9201", "10.0.0.1:9201", "s.toml:9: admin.token: is missing; an admin address that is not loopback needs one"},
		"own address":        {controlText, "c1=127.0.0.1:9101", "c1=127.0.0.1:9109", "s.toml:7: control.initial_members: has c1 at 127.0.0.1:9109, but control.listen is 127.0.0.1:9101"},
		"member twice":       {controlText, "c2=", "c1=", "s.toml:7: control.initial_members: names c1 twice"},
		"member address":     {controlText, "9102", "9101", "s.toml:7: control.initial_members: c1 and c2 have the same address 127.0.0.1:9101"},
		"member form":        {controlText, "c2=", "c2:", "s.toml:7: control.initial_members: \"c2:127.0.0.1:9102\" must be NAME=IP:port"},
		"members type":       {controlText, `"c2=127.0.0.1:9102"`, "2", "s.toml:7: control.initial_members: must be an array of non-empty strings"},
		"agent addresses":    {agentText, "9302", "9301", "s.toml:6: agent.peer_listen: is 127.0.0.1:9301 like agent.caller_listen; the addresses must differ"},
		"agent on 8481":      {agentText, "9303", "8481", "s.toml: admin.listen: is 127.0.0.1:8481 like agent.backend_listen; the addresses must differ"},
		"control twice":      {agentText, "9102", "9101", "s.toml:8: agent.control: names 127.0.0.1:9101 twice"},
		"no control":         {agentText, `["127.0.0.1:9101", "127.0.0.1:9102"]`, "[]", "s.toml:8: agent.control: must name at least one address"},
		"negative time":      {agentText, `"20s"`, `"-20s"`, "s.toml:9: agent.drain_timeout: is -20s; allowed: 0s to 1h"},
		"log level":          {agentText, `"warn"`, `"warning"`, "s.toml:11: log.level: is \"warning\"; allowed: error, warn, info, debug; did you mean warn?"},
		"log format":         {agentText, `"json"`, `"xml"`, "s.toml:12: log.format: is \"xml\"; allowed: text, json"},
		"log type":           {agentText, `"json"`, `true`, "s.toml:12: log.format: must be a string, not a boolean"},
		"stand-in addresses": {standinText, "9401", "9303", "s.toml:5: standin.agent: is 127.0.0.1:9303 like standin.listen; the addresses must differ"},
		"stand-in slots":     {standinText + "slots = 0\n", "", "", "s.toml:6: standin.slots: is 0; allowed: 1 to 10000"},
		"stand-in flag":      {standinText + "checks_fence = 1\n", "", "", "s.toml:6: standin.checks_fence: must be true or false, not a whole number"},
		"stand-in admin":     {standinText + "[admin]\n", "", "", "s.toml:6: admin: unknown section; allowed: [standin], [log]"},
	} {
		t.Run(nam, func(t *testing.T) {
			must.StrContains(t, tcs.text, tcs.old)
			err := parse(strings.Replace(tcs.text, tcs.old, tcs.new, 1))
			var pbe *source.ProblemsError
			must.ErrorAs[*source.ProblemsError](t, err, &pbe)
			must.SliceContains(t, strings.Split(err.Error(), "\n"), tcs.want, must.Sprint(err))
		})
	}
}

// TestValues guards against settings that are accepted but not stored in their fields.
func TestValues(t *testing.T) {
	ctl, err := settings.ParseControl("s.toml", []byte(controlText))
	must.NoError(t, err)
	must.Eq(t, []string{"c1", "c2"}, ctl.MemberOrder)
	must.Eq(t, settings.DefaultStopTimeout, ctl.StopTimeout)
	must.Eq(t, ingress.Resources{}, ctl.Resources())
	must.Eq(t, settings.Log{Level: "info", Format: "text"}, ctl.Log)
	small := strings.Replace(agentText, "[log]", "memory_mb = 184\ndescriptors = 4100\nmax_header_lines = 100\n[log]", 1)
	agt, err := settings.ParseAgent("s.toml", []byte(small))
	must.NoError(t, err)
	must.Eq(t, ingress.Resources{Memory: 184 << 20, Descriptors: 4100}, agt.Resources())
	must.Eq(t, 100, agt.MaxHeadLines)
	agt, err = settings.ParseAgent("s.toml", []byte(agentText))
	must.NoError(t, err)
	must.Eq(t, settings.Agent{
		Place:        settings.Place{Name: "a1", Zone: "in-west-a", Region: "in-west"},
		CallerListen: "127.0.0.1:9301", PeerListen: "127.0.0.1:9302", BackendListen: "127.0.0.1:9303",
		Control: []string{"127.0.0.1:9101", "127.0.0.1:9102"}, DrainTimeout: 20 * time.Second,
		Admin: settings.Admin{Listen: settings.DefaultAdmin}, Log: settings.Log{Level: "warn", Format: "json"},
	}, agt)
	std, err := settings.ParseStandin("s.toml", []byte(standinText+"slots = 14\nchecks_fence = true\nservice_time = \"4ms\"\n"))
	must.NoError(t, err)
	must.Eq(t, uint32(14), std.Slots)
	must.True(t, std.ChecksFence)
	must.Eq(t, 4*time.Millisecond, std.ServiceTime)
}
