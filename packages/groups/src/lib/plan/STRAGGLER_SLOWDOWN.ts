/** Slowdown factor at which a member is replaced: a group is as slow as its slowest member. */
const STRAGGLER_SLOWDOWN = 2.5;

export default STRAGGLER_SLOWDOWN;
