/** Timeout of an order: the longest time from sending it to its arrival at an engine. */
const ORDER_TIMEOUT_MILLISECONDS = 1_500;

export default ORDER_TIMEOUT_MILLISECONDS;
