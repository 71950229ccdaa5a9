package file

import (
	"io/fs"
	"os"
	"path"
	"sort"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill/internal/config/source"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Load reads a configuration directory; the number of the result is 0, and the error for an invalid configuration is a
// *source.ProblemsError with all problems.
func Load(dir string) (*controlpb.Configuration, error) {
	fils, err := Read(dir)
	if err != nil {
		return nil, err
	}
	return Parse(fils)
}

// LoadFS reads the *.toml files at the root of a file system, as Load does for a directory.
func LoadFS(fsy fs.FS) (*controlpb.Configuration, error) {
	fils, err := readFS(fsy)
	if err != nil {
		return nil, err
	}
	return Parse(fils)
}

// Read returns the contents of the *.toml files of a directory by name, for Parse and Check; it is an error if there are
// none.
func Read(dir string) (map[string][]byte, error) {
	inf, err := os.Stat(dir)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration directory")
	}
	if !inf.IsDir() {
		return nil, errors.Errorf("read configuration directory: %s is not a directory", dir)
	}
	return readFS(os.DirFS(dir))
}

func readFS(fsy fs.FS) (map[string][]byte, error) {
	ents, err := fs.ReadDir(fsy, ".")
	if err != nil {
		return nil, errors.Wrap(err, "read configuration directory")
	}
	fils := map[string][]byte{}
	for _, ent := range ents {
		if ent.IsDir() || path.Ext(ent.Name()) != ".toml" {
			continue
		}
		dat, err := fs.ReadFile(fsy, ent.Name())
		if err != nil {
			return nil, errors.Wrap(err, "read configuration file")
		}
		fils[ent.Name()] = dat
	}
	if len(fils) == 0 {
		return nil, errors.New("read configuration directory: no *.toml file found")
	}
	return fils, nil
}

// Parse reads a configuration from the contents of files by name, in the order of the names.
func Parse(fils map[string][]byte) (*controlpb.Configuration, error) {
	return merge(fils).finish()
}

// merge returns the merged sections of all files.
func merge(fils map[string][]byte) *merger {
	var nams []string
	for nam := range fils {
		nams = append(nams, nam)
	}
	sort.Strings(nams)
	mrg := newMerger()
	for _, nam := range nams {
		mrg.addFile(nam, fils[nam])
	}
	return mrg
}

// Sort sorts the services and routes by name, which is their canonical order.
func Sort(cfg *controlpb.Configuration) {
	sort.Slice(cfg.Services, func(i, j int) bool { return cfg.Services[i].GetName() < cfg.Services[j].GetName() })
	sort.Slice(cfg.Routes, func(i, j int) bool { return cfg.Routes[i].GetName() < cfg.Routes[j].GetName() })
}

// merger combines the sections of all files to one configuration and collects the problems.
type merger struct {
	checker  *source.Checker
	sections map[string]*source.Section
	config   *controlpb.Configuration
}

func newMerger() *merger {
	return &merger{checker: &source.Checker{}, sections: map[string]*source.Section{}, config: &controlpb.Configuration{}}
}

func (mrg *merger) addFile(nam string, dat []byte) {
	for _, sec := range source.Read(nam, dat, 2, mrg.checker) {
		mrg.addSection(sec)
	}
}

func (mrg *merger) addSection(sec *source.Section) {
	knd := sec.Path()[0]
	if knd != "service" && knd != "route" {
		hint := source.Suggestion(knd, []string{"service", "route"})
		mrg.checker.Add(sec.Position(), sec.Name(), "unknown section%s; allowed: [service.NAME] and [route.NAME]", hint)
		return
	}
	if old := mrg.sections[sec.Name()]; old != nil {
		mrg.checker.Add(sec.Position(), sec.Name(), "is defined twice, first at %s", old.Position())
		return
	}
	mrg.sections[sec.Name()] = sec
	mrg.checkName(sec)
	if knd == "service" {
		mrg.config.Services = append(mrg.config.Services, mrg.readService(sec))
		return
	}
	mrg.config.Routes = append(mrg.config.Routes, mrg.readRoute(sec))
}

// finish makes the checks that involve several sections, and returns the merged configuration.
func (mrg *merger) finish() (*controlpb.Configuration, error) {
	Sort(mrg.config)
	mrg.checkRouteServices()
	mrg.checkDuplicateRoutes()
	if err := mrg.checker.Err(); err != nil {
		return nil, err
	}
	return mrg.config, nil
}
