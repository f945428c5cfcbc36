/** Time before the end of the grace period at which the process stops waiting for requests, in ms. */
const GRACE_MARGIN_MILLISECONDS = 700;

export default GRACE_MARGIN_MILLISECONDS;
