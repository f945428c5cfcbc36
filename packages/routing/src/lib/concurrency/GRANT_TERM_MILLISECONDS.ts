/**
 * How long a grant is valid after the read that returned it began. It outlasts a
 * long outage of the store, in which no grant can be moved either. A share moves
 * sooner when its holder has acknowledged the withdrawal or is known to be gone.
 */
const GRANT_TERM_MILLISECONDS = 3_600_000;

export default GRANT_TERM_MILLISECONDS;
