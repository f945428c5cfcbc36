/** Added by the planner to the term of a grant to cover clock drift and stale reads. */
const GRANT_MARGIN_MILLISECONDS = 10_000;

export default GRANT_MARGIN_MILLISECONDS;
