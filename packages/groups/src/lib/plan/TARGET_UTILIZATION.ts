/** Target share of used slots per replica: concurrent streams slow each other down. */
const TARGET_UTILIZATION = 0.7;

export default TARGET_UTILIZATION;
