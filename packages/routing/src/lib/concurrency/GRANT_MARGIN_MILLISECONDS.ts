/** Added to a grant's term by the planner, for clocks that run at different speeds and stale reads. */
const GRANT_MARGIN_MILLISECONDS = 10_000;

export default GRANT_MARGIN_MILLISECONDS;
