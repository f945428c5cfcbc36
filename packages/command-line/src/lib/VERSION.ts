/** Version of the command, as its package.json states it. */
const VERSION = '0.1.0';

export default VERSION;
