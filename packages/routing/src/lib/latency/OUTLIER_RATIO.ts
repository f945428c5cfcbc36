/** Ratio of a replica's average latency to the median above which it is an outlier. */
const OUTLIER_RATIO = 2;

export default OUTLIER_RATIO;
