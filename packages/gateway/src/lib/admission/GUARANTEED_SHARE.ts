/** Share of what a priority would get by order of arrival that it gets beside more urgent ones. */
const GUARANTEED_SHARE = 1 / 4;

export default GUARANTEED_SHARE;
