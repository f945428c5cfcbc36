/** The closed list of reasons for which a target is chosen, for the log line. */
type ChoiceReason = | 'only-candidate'
  | 'prefix-cached'
  | 'prefix-assigned'
  | 'least-tokens'
  | 'least-tokens-other-zone'
  | 'probe';

export default ChoiceReason;
