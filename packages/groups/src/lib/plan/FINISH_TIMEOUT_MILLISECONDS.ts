/** Time that a head gets to finish its running requests before they are aborted, in ms. */
const FINISH_TIMEOUT_MILLISECONDS = 2_500;

export default FINISH_TIMEOUT_MILLISECONDS;
