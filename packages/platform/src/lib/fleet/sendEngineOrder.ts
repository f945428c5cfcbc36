import { err, ok, type ResultAsync } from 'neverthrow';
import type { Dispatcher } from 'undici';
import { ServingError, type EngineOrder } from '@dandelionlane/core';
import sendJSON from '../http/sendJSON.js';
import ORDER_TIMEOUT_MILLISECONDS from './ORDER_TIMEOUT_MILLISECONDS.js';

const STATUS_ACCEPTED = 202;
const STATUS_CONFLICT = 409;

/**
 * Sends an order to the engine or application on a VM. Errors: `order-refused` when
 * the engine has seen a larger fencing number; `store-unavailable` or
 * `store-outcome-unknown` when no answer arrived.
 */
export default function sendEngineOrder(
  dispatcher: Dispatcher,
  address: string,
  order: EngineOrder,
): ResultAsync<void, ServingError> {
  return sendJSON(dispatcher, {
    method: 'POST',
    origin: `http://${address}`,
    path: '/v1/orders',
    body: order,
    timeoutMilliseconds: ORDER_TIMEOUT_MILLISECONDS,
  }).andThen(({ status }) => {
    if (status === STATUS_ACCEPTED) {
      return ok(undefined);
    }
    const kind = status === STATUS_CONFLICT ? 'order-refused' : 'platform-answer-invalid';
    return err(new ServingError(`${address} answered ${status} to order ${order.kind}`, { kind }));
  });
}
