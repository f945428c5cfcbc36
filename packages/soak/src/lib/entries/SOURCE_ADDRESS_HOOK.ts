/** URL of the module that gives an entry process a source address of its own. */
const SOURCE_ADDRESS_HOOK = new URL('../../../source-address/bindSource.mjs', import.meta.url).href;

export default SOURCE_ADDRESS_HOOK;
