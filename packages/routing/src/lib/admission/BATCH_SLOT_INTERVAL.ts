/** While requests of both priorities wait, one in so many places goes to batch work. */
const BATCH_SLOT_INTERVAL = 10;

export default BATCH_SLOT_INTERVAL;
