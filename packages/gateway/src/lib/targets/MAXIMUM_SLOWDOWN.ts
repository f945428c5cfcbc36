/** Largest slowdown that is believed: a target that is slower serves no stream in time at any load. */
const MAXIMUM_SLOWDOWN = 16;

export default MAXIMUM_SLOWDOWN;
