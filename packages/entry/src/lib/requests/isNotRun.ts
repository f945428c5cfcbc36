import { ERROR_ANSWERS, type ServingError } from '@dandelionlane/core';

/** Whether an error says that the request was not acted on. */
export default function isNotRun(error: ServingError): boolean {
  return ERROR_ANSWERS[error.kind].outcome === 'not-run';
}
