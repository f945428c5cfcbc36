/** Upper limit of the silences and ages in messages, in ms: infinite ones cannot be sent. */
const MAXIMUM_REPORTED_MILLISECONDS = 60_000;

export default MAXIMUM_REPORTED_MILLISECONDS;
