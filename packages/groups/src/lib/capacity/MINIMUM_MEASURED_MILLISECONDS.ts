/** Time for which demand is measured before it changes groups, in ms: the holder's links are up by then. */
const MINIMUM_MEASURED_MILLISECONDS = 3_000;

export default MINIMUM_MEASURED_MILLISECONDS;
