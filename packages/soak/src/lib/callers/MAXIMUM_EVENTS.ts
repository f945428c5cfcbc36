/** Most events of a stream. */
const MAXIMUM_EVENTS = 24;

export default MAXIMUM_EVENTS;
