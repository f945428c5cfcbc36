/** Status with which a worker answers a request that was meant for another one. */
const MISDIRECTED_STATUS = 421;

export default MISDIRECTED_STATUS;
