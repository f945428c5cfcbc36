/** Reason for which an answer without a length counts as broken off. */
const UNCONFIRMED_END = 'answer without a length, and its target does not go on';

export default UNCONFIRMED_END;
