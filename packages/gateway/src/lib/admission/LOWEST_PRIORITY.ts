/** Number of the least urgent priority; 0 is the most urgent one. Engines support these. */
const LOWEST_PRIORITY = 9;

export default LOWEST_PRIORITY;
