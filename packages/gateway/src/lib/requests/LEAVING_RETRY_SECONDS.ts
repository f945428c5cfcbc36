/** Time after which a caller that a leaving entry refused may retry at another one, in s. */
const LEAVING_RETRY_SECONDS = 0.1;

export default LEAVING_RETRY_SECONDS;
