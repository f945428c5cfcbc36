/** Longest time between the send of an order and its arrival at an engine. */
const ORDER_TIMEOUT_MILLISECONDS = 1_500;

export default ORDER_TIMEOUT_MILLISECONDS;
