/** Prefix of the row keys of all snapshot parts. */
const SNAPSHOT_PART_PREFIX = 'snapshot/';

export default SNAPSHOT_PART_PREFIX;
