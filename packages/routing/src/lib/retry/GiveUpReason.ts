/** Why a request is not attempted again, as logged. */
type GiveUpReason = | 'not-repeatable'
  | 'answer-begun'
  | 'attempts-exhausted'
  | 'deadline-reached'
  | 'no-alternative'
  | 'budget-exhausted';

export default GiveUpReason;
