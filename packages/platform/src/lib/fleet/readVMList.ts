import type { ResultAsync } from 'neverthrow';
import type { Dispatcher } from 'undici';
import { VMList, parseWith, type ServingError } from '@dandelionlane/core';
import sendJSON from '../http/sendJSON.js';

const TIMEOUT_MILLISECONDS = 2_000;

/** Reads the platform's list of VMs, which lags behind the fleet. */
export default function readVMList(
  dispatcher: Dispatcher,
  address: string,
): ResultAsync<VMList, ServingError> {
  return sendJSON(dispatcher, {
    method: 'GET', origin: `http://${address}`, path: '/v1/vms', timeoutMilliseconds: TIMEOUT_MILLISECONDS,
  }).andThen((answer) => parseWith(VMList, answer.data, 'platform-answer-invalid'));
}
