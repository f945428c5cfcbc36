/** Time that entries have after SIGTERM unless a soak says otherwise, in s: that of deployments. */
const DEFAULT_GRACE_SECONDS = 8;

export default DEFAULT_GRACE_SECONDS;
