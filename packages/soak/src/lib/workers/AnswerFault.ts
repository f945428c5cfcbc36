/**
 * What is wrong with the answers of a worker. `cut`: half of the body, then the connection ends.
 * `lost`: the request runs and the connection ends. `extra`: a second answer follows the first.
 * `failing`: it answers 500. `endless`: it writes a body without an end; `interim`: heads that are no answer.
 * `mute`: it runs nothing and does not answer.
 */
type AnswerFault = 'none' | 'cut' | 'lost' | 'extra' | 'failing' | 'endless' | 'interim' | 'mute';

export default AnswerFault;
