/** Slowdown from which a member is replaced: a group runs at the pace of its slowest member. */
const STRAGGLER_SLOWDOWN = 2.5;

export default STRAGGLER_SLOWDOWN;
