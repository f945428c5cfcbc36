/** Why a replica is rebuilt. */
type RebuildReason = 'member-lost' | 'member-restarted' | 'member-astray' | 'wanted-again' | 'version-change';

export default RebuildReason;
