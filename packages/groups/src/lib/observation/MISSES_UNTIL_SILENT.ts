/** Consecutive unanswered probes after which a worker counts as silent; fewer may be lost packets. */
const MISSES_UNTIL_SILENT = 3;

export default MISSES_UNTIL_SILENT;
