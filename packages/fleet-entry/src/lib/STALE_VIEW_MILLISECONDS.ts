/**
 * Age of the holder's view of a table from which an entry reads the store itself, in ms. Longer than
 * the time between two answers of the feed, and well below the time limits for stopping work to a
 * leaving worker and for putting a configuration into force.
 */
const STALE_VIEW_MILLISECONDS = 1_100;

export default STALE_VIEW_MILLISECONDS;
