package gossip

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"dandelionrelay/membership"
)

// In a small fleet each entry tells every other what it runs and admits. That
// grows with the square of their number, so the entries of a large fleet form
// cells within their data centres: those of a cell tell one another all, and use
// the same endpoints; of other cells they know sums.
const (
	// smallFleet is the number of entries up to which all of them form one cell:
	// in three data centres each then sends up to about 600 datagrams a second.
	smallFleet = 40
	// cellSize is the number of entries that a cell has on average: enough that
	// their share of a data centre's load is even.
	cellSize = 12
)

// cellID names a cell. The zero value is that of a small fleet.
type cellID struct {
	dataCentre string
	index      int
}

// String returns the name of the cell.
func (c cellID) String() string { return fmt.Sprintf("%s/%d", c.dataCentre, c.index) }

// cells is how the members of a fleet form cells.
type cells struct {
	members map[cellID][]Member // in order of their names
	of      map[string]cellID   // by name of the member
	byPlace map[string][]cellID // those of a data centre, in order
}

// newCells returns the cells of members.
func newCells(members []Member) *cells {
	c := &cells{members: make(map[cellID][]Member), of: make(map[string]cellID), byPlace: make(map[string][]cellID)}
	byPlace := make(map[string][]Member)
	for _, m := range members {
		place := m.DataCentre
		if len(members) <= smallFleet {
			place = ""
		}
		byPlace[place] = append(byPlace[place], m)
	}
	for place, group := range byPlace {
		n := (len(group) + cellSize - 1) / cellSize
		if place == "" {
			n = 1
		}
		for i := range n {
			c.byPlace[place] = append(c.byPlace[place], cellID{place, i})
		}
		for _, m := range group {
			id := choose(m.Name, c.byPlace[place])
			c.of[m.Name] = id
			c.members[id] = append(c.members[id], m)
		}
	}
	for _, group := range c.members {
		slices.SortFunc(group, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	}
	return c
}

// choose returns the cell that key belongs to, by rendezvous hashing.
func choose(key string, among []cellID) cellID {
	var best cellID
	var most uint64
	for _, id := range among {
		if score := membership.Score(key, id.String()); score >= most {
			best, most = id, score
		}
	}
	return best
}

// single reports whether all members form one cell.
func (c *cells) single() bool { return len(c.members) <= 1 }

// serving returns the cell that uses an endpoint of a data centre. Where there are
// no entries, any cell may.
func (c *cells) serving(endpoint, dataCentre string) cellID {
	among := c.byPlace[dataCentre]
	if len(among) == 0 {
		among = slices.SortedFunc(maps.Keys(c.members), compareCells)
	}
	return choose(endpoint, among)
}

func compareCells(a, b cellID) int {
	if c := cmp.Compare(a.dataCentre, b.dataCentre); c != 0 {
		return c
	}
	return cmp.Compare(a.index, b.index)
}

// equal reports whether both hold the same members in the same cells.
func (c *cells) equal(o *cells) bool { return o != nil && maps.Equal(c.of, o.of) }
