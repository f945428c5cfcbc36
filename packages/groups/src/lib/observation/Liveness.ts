/**
 * `alive`: answers probes and is not leaving. `leaving`: answers probes and is shutting down.
 * `silent`: does not answer but may be running. `gone`: unregistered and without an answer, or replaced
 * by another instance. `unknown`: no probe has been answered yet.
 */
type Liveness = 'alive' | 'leaving' | 'silent' | 'gone' | 'unknown';

export default Liveness;
