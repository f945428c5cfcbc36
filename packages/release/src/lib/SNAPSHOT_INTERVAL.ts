/** A snapshot is written at every multiple of this sequence. */
const SNAPSHOT_INTERVAL = 256;

export default SNAPSHOT_INTERVAL;
