import { type VMRecord, ServingError } from '@dandelionlane/core';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { request, type Dispatcher } from 'undici';

/** Puts a VM's record on the platform's list. Error: `store-unavailable`. */
export default function registerVM(
  platform: string,
  record: VMRecord,
  dispatcher: Dispatcher,
): ResultAsync<void, ServingError> {
  const sent = request(`http://${platform}/v1/vms/${record.vm}`, {
    method: 'PUT', body: JSON.stringify(record), dispatcher,
  });
  return ResultAsync.fromPromise(
    sent,
    (cause) => new ServingError('the platform did not answer', { kind: 'store-unavailable', cause }),
  ).andThen(({ statusCode }) => (statusCode === 204
    ? okAsync(undefined)
    : errAsync(new ServingError(`the platform answered ${statusCode}`, { kind: 'store-unavailable' }))));
}
