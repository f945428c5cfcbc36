import type UsualSlowdown from './UsualSlowdown.js';

/** Targets run as configured. */
const NO_SLOWDOWN: UsualSlowdown = { own: 1, shared: 1 };

export default NO_SLOWDOWN;
