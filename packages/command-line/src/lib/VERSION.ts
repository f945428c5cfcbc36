/** Version of the command; equals the version in package.json. */
const VERSION = '0.1.0';

export default VERSION;
