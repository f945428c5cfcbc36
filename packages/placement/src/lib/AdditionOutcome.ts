/** Result of one attempt to add a replica: done, kept back by the weight store's limit, or without room. */
type AdditionOutcome = 'added' | 'no-budget' | 'no-room';

export default AdditionOutcome;
