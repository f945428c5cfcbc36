/** Average latency over the peers' median from which on a replica is an outlier. */
const OUTLIER_RATIO = 2;

export default OUTLIER_RATIO;
