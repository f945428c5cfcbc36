import { err, ok, type ResultAsync } from 'neverthrow';
import type { Dispatcher } from 'undici';
import {
  ServingError, VMReport, parseWith, type VMId,
} from '@dandelionlane/core';
import sendJSON from '../http/sendJSON.js';

const TIMEOUT_MILLISECONDS = 1_000;

/**
 * Requests the report of a VM. An answer from a different VM, for example after an
 * address was reused, is an error of kind `platform-answer-invalid`.
 */
export default function readVMReport(
  dispatcher: Dispatcher,
  vm: VMId,
  address: string,
): ResultAsync<VMReport, ServingError> {
  return sendJSON(dispatcher, {
    method: 'GET', origin: `http://${address}`, path: '/v1/report', timeoutMilliseconds: TIMEOUT_MILLISECONDS,
  })
    .andThen((answer) => parseWith(VMReport, answer.data, 'platform-answer-invalid'))
    .andThen((report) => {
      if (report.vm !== vm) {
        return err(new ServingError(
          `${address} answered as ${report.vm} instead of ${vm}`,
          { kind: 'platform-answer-invalid' },
        ));
      }
      return ok(report);
    });
}
