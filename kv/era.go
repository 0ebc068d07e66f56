package kv

// Era is the number of times that a store has been restored from a backup. After a restore,
// everything written since the backup is gone, and revisions and lease ids are used again. A store
// that does not state its era is always in era 0.
type Era uint32

const (
	// eraShift is the number of low bits of a Revision that have the store's own revision number.
	// The era is in the bits above, so that revisions of two eras differ and those of a later era
	// are greater. JSON numbers are exact up to this number of bits.
	eraShift = 53
	// LastEra is the highest era that fits into a Revision.
	LastEra Era = 1<<(64-eraShift) - 1
	// LastNumber is the highest revision number of the store that fits into a Revision.
	LastNumber uint64 = 1<<eraShift - 1
)

// RevisionAt returns the Revision for a revision number of the store in an era. They must not
// exceed LastNumber and LastEra.
func RevisionAt(era Era, number uint64) Revision { return Revision(uint64(era)<<eraShift | number) }

// Era returns the era that the revision belongs to.
func (r Revision) Era() Era { return Era(r >> eraShift) }

// Number returns the store's own revision number.
func (r Revision) Number() uint64 { return uint64(r) & LastNumber }

// LeaseID identifies a lease of a TxnStore; the zero value means no lease.
type LeaseID struct {
	// Era is the era in which the lease was acquired, Number the store's own id of the lease.
	Era    Era
	Number uint64
}
