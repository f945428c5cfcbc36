/**
 * `alive`: answers and stays. `leaving`: answers and is about to end. `silent`: does not answer,
 * may be alive. `gone`: neither answers nor is registered. `unknown`: not asked yet.
 */
type Liveness = 'alive' | 'leaving' | 'silent' | 'gone' | 'unknown';

export default Liveness;
