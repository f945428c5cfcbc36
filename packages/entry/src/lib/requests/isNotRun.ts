import { ERROR_ANSWERS, type ServingError } from '@dandelionlane/core';

/** Whether an error guarantees that the request was not executed. */
export default function isNotRun(error: ServingError): boolean {
  return ERROR_ANSWERS[error.kind].outcome === 'not-run';
}
