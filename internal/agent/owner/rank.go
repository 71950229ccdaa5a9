package owner

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// copyHolders is the number of other agents that store a record.
	copyHolders = 2
	// copyCandidates is the number of agents that a new owner queries for copies.
	copyCandidates = 6
	// candidateZones and candidatesPerZone select the candidates so that they include the holders. In whichever zone
	// the failed owner was, the holders are the highest ranked agents of two of the first three zones; if one agent
	// has failed, the second of its zone is a holder.
	candidateZones    = 3
	candidatesPerZone = 2
)

// rankedNode is a registered agent with its score for a partition.
type rankedNode struct {
	node  *controlpb.Node
	score uint64
}

// rankNodes sorts the agents by rendezvous hashing for a partition, the highest score first; of several sessions of
// one name only the newest counts.
func rankNodes(nodes []*controlpb.Node, svc string, par uint32) []*controlpb.Node {
	lst := make([]rankedNode, 0, len(nodes))
	for _, nod := range nodes {
		lst = append(lst, rankedNode{node: nod, score: nodeScore(svc, par, nod.GetName())})
	}
	slices.SortFunc(lst, func(fst, snd rankedNode) int {
		return cmp.Or(
			cmp.Compare(snd.score, fst.score),
			cmp.Compare(fst.node.GetName(), snd.node.GetName()),
			cmp.Compare(snd.node.GetSession(), fst.node.GetSession()),
		)
	})
	var out []*controlpb.Node
	for _, rnk := range lst {
		if len(out) == 0 || out[len(out)-1].GetName() != rnk.node.GetName() {
			out = append(out, rnk.node)
		}
	}
	return out
}

func nodeScore(svc string, par uint32, name string) uint64 {
	var dig xxhash.Digest
	dig.Reset()
	_, _ = dig.WriteString(svc)
	_, _ = dig.Write(binary.BigEndian.AppendUint32([]byte{0}, par))
	_, _ = dig.WriteString(name)
	return dig.Sum64()
}

// pickHolders returns the agents that store copies of an owner's records, where possible in zones other than the
// owner's and each other's.
func pickHolders(ranked []*controlpb.Node, own *controlpb.Node) []*controlpb.Node {
	zones := map[string]bool{own.GetZone(): true}
	var out []*controlpb.Node
	for _, nod := range ranked {
		if len(out) < copyHolders && !sameAgent(nod, own) && !zones[nod.GetZone()] {
			zones[nod.GetZone()] = true
			out = append(out, nod)
		}
	}
	for _, nod := range ranked {
		if len(out) < copyHolders && !sameAgent(nod, own) && !slices.Contains(out, nod) {
			out = append(out, nod)
		}
	}
	return out
}

// sameAgent reports whether two rows describe the same agent, perhaps in different sessions.
func sameAgent(nod, own *controlpb.Node) bool {
	return nod.GetName() == own.GetName() || nod.GetSession() == own.GetSession()
}

// pickCandidates returns the agents that may hold copies for a partition whose previous owner is not known.
func pickCandidates(ranked []*controlpb.Node) []*controlpb.Node {
	counts := map[string]int{}
	var out, rest []*controlpb.Node
	for _, nod := range ranked {
		num, known := counts[nod.GetZone()]
		if known && num < candidatesPerZone || !known && len(counts) < candidateZones {
			counts[nod.GetZone()]++
			out = append(out, nod)
		} else {
			rest = append(rest, nod)
		}
	}
	if free := copyCandidates - len(out); free > 0 {
		out = append(out, rest[:min(free, len(rest))]...)
	}
	return out
}
