/**
 * What a link does with connections. `open`: passes bytes on. `silent`: keeps
 * connections and passes nothing on, as a network that drops packets. `refused`:
 * destroys connections and takes no new ones.
 */
type LinkState = 'open' | 'silent' | 'refused';

export default LinkState;
