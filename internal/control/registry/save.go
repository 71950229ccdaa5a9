package registry

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Save returns the content of a snapshot, an encoded RegistryState.
func (reg *Registry) Save() ([]byte, error) {
	reg.mut.RLock()
	defer reg.mut.RUnlock()
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(reg.state)
	if err != nil {
		return nil, errors.Wrap(err, "registry: encode state")
	}
	return raw, nil
}

// Restore replaces the state by the content of a snapshot; agents with an older version then need a snapshot
// too.
func (reg *Registry) Restore(data []byte) error {
	stt := &controlpb.RegistryState{}
	if err := proto.Unmarshal(data, stt); err != nil {
		return errors.Wrap(err, "registry: decode state")
	}
	if stt.GetConfiguration() == nil {
		stt.Configuration = &controlpb.Configuration{}
	}
	reg.mut.Lock()
	defer reg.mut.Unlock()
	reg.state = stt
	reg.changeRecords = make(map[string]*controlpb.ChangeRecord, len(stt.GetChanges()))
	for _, rec := range stt.GetChanges() {
		reg.changeRecords[rec.GetChangeId()] = rec
	}
	reg.ring.reset(stt.GetIndex())
	close(reg.changed)
	reg.changed = make(chan struct{})
	return nil
}
