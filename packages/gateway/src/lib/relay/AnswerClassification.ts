/**
 * Class of an answer of a target. `own`: the target's answer to this request. `not-executed`:
 * the target did not run it. `failure`: the target's own error. `foreign`: not an answer to this
 * request, or not one that can be trusted; whether the request ran is unknown. `passed-back`: the final
 * answer of another entry that served the request in place of this one.
 */
type AnswerClassification = 'own' | 'not-executed' | 'failure' | 'foreign' | 'passed-back';

export default AnswerClassification;
