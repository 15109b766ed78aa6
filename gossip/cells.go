package gossip

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"dandelionrelay/membership"
)

// In a small fleet each entry sends its load and admission counts to every other
// entry. The traffic grows with the square of the number of entries, so a large
// fleet is divided into cells within its data centres: entries of a cell exchange
// full reports and use the same endpoints; of other cells they know only the
// total admissions.
const (
	// maxSingleCellEntries is the number of entries up to which the whole fleet is
	// one cell. At this size, spread over three data centres, each entry sends up
	// to about 600 datagrams a second.
	maxSingleCellEntries = 40
	// targetCellSize is the maximum average number of entries of the cells of a data
	// centre. It is large enough that cells get even shares of its load.
	targetCellSize = 12
)

// cellID identifies a cell. The zero value is the only cell of a small fleet.
type cellID struct {
	dataCentre string
	index      int
}

// String returns the cell's name, the data centre and the index joined by "/".
func (c cellID) String() string { return fmt.Sprintf("%s/%d", c.dataCentre, c.index) }

// cellMap assigns the members of a fleet to cells.
type cellMap struct {
	members      map[cellID][]Member // sorted by name
	byMember     map[string]cellID   // by member name
	byDataCentre map[string][]cellID // cells of a data centre, sorted by index
}

// newCellMap divides members into cells.
func newCellMap(members []Member) *cellMap {
	c := &cellMap{members: make(map[cellID][]Member), byMember: make(map[string]cellID), byDataCentre: make(map[string][]cellID)}
	groups := make(map[string][]Member)
	for _, m := range members {
		dataCentre := m.DataCentre
		if len(members) <= maxSingleCellEntries {
			dataCentre = ""
		}
		groups[dataCentre] = append(groups[dataCentre], m)
	}
	for dataCentre, group := range groups {
		n := (len(group) + targetCellSize - 1) / targetCellSize
		if dataCentre == "" {
			n = 1
		}
		for i := range n {
			c.byDataCentre[dataCentre] = append(c.byDataCentre[dataCentre], cellID{dataCentre, i})
		}
		for _, m := range group {
			id := rendezvousCell(m.Name, c.byDataCentre[dataCentre])
			c.byMember[m.Name] = id
			c.members[id] = append(c.members[id], m)
		}
	}
	for _, group := range c.members {
		slices.SortFunc(group, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	}
	return c
}

// rendezvousCell returns the candidate to which rendezvous hashing assigns key, so that
// few keys move when cells are added or removed.
func rendezvousCell(key string, candidates []cellID) cellID {
	var best cellID
	var bestScore uint64
	for _, id := range candidates {
		if score := membership.Score(key, id.String()); score >= bestScore {
			best, bestScore = id, score
		}
	}
	return best
}

// single reports whether there is at most one cell.
func (c *cellMap) single() bool { return len(c.members) <= 1 }

func compareCells(a, b cellID) int {
	if c := cmp.Compare(a.dataCentre, b.dataCentre); c != 0 {
		return c
	}
	return cmp.Compare(a.index, b.index)
}

// equal reports whether c and o assign the same members to the same cells.
func (c *cellMap) equal(o *cellMap) bool { return o != nil && maps.Equal(c.byMember, o.byMember) }
