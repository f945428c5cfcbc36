/**
 * Time for which a grant is valid, from the start of the read that returned it. It
 * outlasts a long outage of the store, during which no grant can be moved either. A share
 * moves sooner if its holder acknowledges the withdrawal or its process is known to have ended.
 */
const GRANT_TERM_MILLISECONDS = 3_600_000;

export default GRANT_TERM_MILLISECONDS;
