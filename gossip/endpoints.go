package gossip

import (
	"cmp"
	"maps"
	"slices"

	"dandelionrelay/membership"
)

// Endpoint names an endpoint that is assigned to a cell.
type Endpoint struct {
	ID         string
	DataCentre string
}

// OwnEndpoints returns the IDs of those endpoints that this entry's cell uses. The cells
// of a data centre share its endpoints in proportion to their numbers of entries, as the
// load balancer sends each entry as many requests. All entries that know the same members
// and the same endpoints get the same result.
func (n *Node) OwnEndpoints(endpoints []Endpoint) map[string]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	own := make(map[string]bool)
	if n.cells == nil || n.cells.single() {
		for _, e := range endpoints {
			own[e.ID] = true
		}
		return own
	}
	self := n.cells.byMember[n.self.Name]
	for id, cell := range n.cells.assignEndpoints(endpoints) {
		if cell == self {
			own[id] = true
		}
	}
	return own
}

// assignEndpoints returns the cell of each endpoint by its ID. Those of a data centre
// without entries are shared by all cells.
func (c *cellMap) assignEndpoints(endpoints []Endpoint) map[string]cellID {
	byDataCentre := make(map[string][]string)
	for _, e := range endpoints {
		byDataCentre[e.DataCentre] = append(byDataCentre[e.DataCentre], e.ID)
	}
	assigned := make(map[string]cellID, len(endpoints))
	for dataCentre, ids := range byDataCentre {
		cells := c.byDataCentre[dataCentre]
		if len(cells) == 0 {
			cells = slices.SortedFunc(maps.Keys(c.members), compareCells)
		}
		c.assignTo(cells, ids, assigned)
	}
	return assigned
}

// preference is how strongly rendezvous hashing draws an endpoint to a cell.
type preference struct {
	endpoint string
	cell     cellID
	score    uint64
}

// assignTo assigns endpoints to cells by rendezvous hashing, up to the quota of each cell.
func (c *cellMap) assignTo(cells []cellID, endpoints []string, assigned map[string]cellID) {
	var preferences []preference
	for _, id := range endpoints {
		for _, cell := range cells {
			preferences = append(preferences, preference{id, cell, membership.Score(id, cell.String())})
		}
	}
	slices.SortFunc(preferences, func(a, b preference) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.endpoint, b.endpoint), compareCells(a.cell, b.cell))
	})
	room := c.endpointQuotas(cells, len(endpoints))
	for _, p := range preferences {
		if _, done := assigned[p.endpoint]; !done && room[p.cell] > 0 {
			assigned[p.endpoint] = p.cell
			room[p.cell]--
		}
	}
}

// endpointQuotas divides a number of endpoints among cells in proportion to their members.
// What is left by rounding down goes to the cells with the largest remainders.
func (c *cellMap) endpointQuotas(cells []cellID, endpoints int) map[cellID]int {
	members := 0
	for _, cell := range cells {
		members += len(c.members[cell])
	}
	quotas := make(map[cellID]int, len(cells))
	if members == 0 {
		return quotas
	}
	left := endpoints
	for _, cell := range cells {
		quotas[cell] = endpoints * len(c.members[cell]) / members
		left -= quotas[cell]
	}
	byRemainder := slices.SortedStableFunc(slices.Values(cells), func(a, b cellID) int {
		return cmp.Compare(endpoints*len(c.members[b])%members, endpoints*len(c.members[a])%members)
	})
	for _, cell := range byRemainder[:left] {
		quotas[cell]++
	}
	return quotas
}

// NearMembers returns the names of those entries of CellMembers that are in this entry's data
// centre.
func (n *Node) NearMembers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refreshCells()
	var names []string
	for _, m := range n.cellMembers() {
		if m.DataCentre == n.self.DataCentre {
			names = append(names, m.Name)
		}
	}
	return names
}

// CellMembers returns the names of the entries of this entry's cell, this entry included.
func (n *Node) CellMembers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refreshCells()
	var names []string
	for _, m := range n.cellMembers() {
		names = append(names, m.Name)
	}
	return names
}
