/** Why a target was chosen, as logged. */
type ChoiceReason = | 'only-candidate'
  | 'prefix-cached'
  | 'prefix-assigned'
  | 'least-tokens'
  | 'least-tokens-other-zone'
  | 'probe';

export default ChoiceReason;
