/**
 * Slowdown from which a target counts as slow. Prompts of other entries, which show in their reports only
 * after some hundred ms, lengthen the steps of a target that runs as configured by up to a third.
 */
const SLOW_FACTOR = 1.5;

export default SLOW_FACTOR;
