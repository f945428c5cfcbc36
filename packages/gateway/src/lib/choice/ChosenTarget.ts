import type Choice from './Choice.js';

/** A choice that found a target. */
type ChosenTarget = Extract<Choice, { kind: 'chosen' }>;

export default ChosenTarget;
