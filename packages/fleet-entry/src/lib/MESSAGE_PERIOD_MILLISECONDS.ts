/** Period of the messages on a link, in ms. */
const MESSAGE_PERIOD_MILLISECONDS = 120;

export default MESSAGE_PERIOD_MILLISECONDS;
