import type RequestId from '../ids/RequestId.js';
import ERROR_ANSWERS from './ERROR_ANSWERS.js';
import type Problem from './Problem.js';
import type ServingError from './ServingError.js';

/** Converts an error to a problem document, with the status and defaults of `ERROR_ANSWERS`. */
export default function toProblem(error: ServingError, requestId?: RequestId): Problem {
  const answer = ERROR_ANSWERS[error.kind];
  const retryAfterSeconds = error.retryAfterSeconds ?? answer.retryAfterSeconds;
  return {
    type: `urn:dandelionlane:problem:${error.kind}`,
    title: answer.title,
    status: answer.status,
    detail: error.message,
    kind: error.kind,
    outcome: answer.outcome,
    ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }),
    ...(requestId === undefined ? {} : { requestId }),
  };
}
