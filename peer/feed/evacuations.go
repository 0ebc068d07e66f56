package feed

import (
	"tarragongw/core/evacuation"
	"tarragongw/peer/feedpb"
)

func encodeEvacuations(all *evacuation.Snapshot) *feedpb.Evacuations {
	p := &feedpb.Evacuations{Revision: all.Revision, RestoredAt: all.RestoredAt}
	for _, r := range all.Records {
		p.Records = append(p.Records, &feedpb.Evacuation{DataCentre: r.DataCentre, Revision: r.Revision})
	}
	return p
}

func decodeEvacuations(p *feedpb.Evacuations) *evacuation.Snapshot {
	all := &evacuation.Snapshot{Revision: p.GetRevision(), RestoredAt: p.GetRestoredAt()}
	for _, r := range p.GetRecords() {
		all.Records = append(all.Records, evacuation.Record{DataCentre: r.GetDataCentre(), Revision: r.GetRevision()})
	}
	return all
}
