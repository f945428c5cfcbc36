/**
 * What the address of a worker shows when it is asked. `answered`: something answered, as that worker or
 * without a word of who it is. `misdirected`: another worker, or a later process of the same one, answered.
 * `refused`: no process listens there. `unanswered`: a silence, or a connection that was accepted and ended
 * without an answer.
 */
type ProbeOutcome = 'answered' | 'misdirected' | 'refused' | 'unanswered';

export default ProbeOutcome;
