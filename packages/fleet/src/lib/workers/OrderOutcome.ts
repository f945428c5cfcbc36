/**
 * Answer to an order. `begun` and `done` are acceptances. `conflict`: it does not fit the
 * worker's state or the expected sequence. `fenced`: the worker has seen a higher fencing number.
 * `refused`: the worker knows no such order, or is not the one that was meant.
 */
type OrderOutcome = 'begun' | 'done' | 'conflict' | 'fenced' | 'refused';

export default OrderOutcome;
