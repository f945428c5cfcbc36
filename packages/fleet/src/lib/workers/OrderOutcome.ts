/**
 * Answer to an order. `begun` and `done`: accepted. `conflict`: the order does not match the state of
 * the worker or its order sequence. `fenced`: the worker has seen a higher fencing number.
 * `refused`: the worker does not support the order or is not the addressed instance.
 */
type OrderOutcome = 'begun' | 'done' | 'conflict' | 'fenced' | 'refused';

export default OrderOutcome;
