/**
 * What a link does with connections. `open`: passes bytes on. `silent`: keeps connections and
 * passes nothing on, as a network that drops packets. `one-way`: passes on only what comes from the
 * target. `slow`: passes bytes on after a while. `refused`: destroys connections and takes no new
 * ones. `reset`: the same, by resets. `established`: goes on with open connections and takes no new ones.
 * `mute`: goes on with open connections; takes new ones and passes nothing on, even if the target has ended.
 */
type LinkState = 'open' | 'silent' | 'one-way' | 'slow' | 'refused' | 'reset' | 'established' | 'mute';

export default LinkState;
