/** Maximum delay of a request on its way to the target plus the maximum lag of a report. */
const REPORT_SETTLE_MILLISECONDS = 5_000;

export default REPORT_SETTLE_MILLISECONDS;
