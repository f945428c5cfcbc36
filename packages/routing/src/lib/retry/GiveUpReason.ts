/** The closed list of reasons against another attempt, for the log line. */
type GiveUpReason = | 'not-repeatable'
  | 'answer-begun'
  | 'attempts-exhausted'
  | 'deadline-reached'
  | 'no-alternative'
  | 'budget-exhausted';

export default GiveUpReason;
