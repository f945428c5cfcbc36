/** One in this many slots goes to a batch request while requests of both priorities wait. */
const BATCH_SLOT_INTERVAL = 10;

export default BATCH_SLOT_INTERVAL;
