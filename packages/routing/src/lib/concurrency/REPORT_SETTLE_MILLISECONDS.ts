/** Longest travel of a request to its target together with the longest lag of a report. */
const REPORT_SETTLE_MILLISECONDS = 5_000;

export default REPORT_SETTLE_MILLISECONDS;
