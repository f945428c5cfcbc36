/** Result of one attempt to add a replica: added, deferred by the load limit, or no capacity. */
type AdditionOutcome = 'added' | 'no-budget' | 'no-capacity';

export default AdditionOutcome;
