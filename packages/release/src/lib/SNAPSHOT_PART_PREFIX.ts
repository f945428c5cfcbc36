/** Beginning of the keys of all parts of snapshots. */
const SNAPSHOT_PART_PREFIX = 'snapshot/';

export default SNAPSHOT_PART_PREFIX;
