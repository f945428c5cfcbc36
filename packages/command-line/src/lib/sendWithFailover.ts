import { Problem } from '@dandelionlane/core';
import { err, ok, type Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import type Attempt from './Attempt.js';
import type ConnectionOptions from './ConnectionOptions.js';
import type AdministrationRequest from './AdministrationRequest.js';
import EXIT_CODES from './EXIT_CODES.js';
import type Failure from './Failure.js';
import type HttpAnswer from './HttpAnswer.js';
import sendRequest from './sendRequest.js';

const SERVICE_UNAVAILABLE = 503;

/** Whether the request can go to the next entry without any risk of running twice. */
function canFailOver({ method }: AdministrationRequest, attempt: Attempt): boolean {
  if (attempt.kind === 'failed') {
    return method === 'GET' || !attempt.mayHaveReachedEntry;
  }
  const { status, body } = attempt.answer;
  const problem = Problem.safeParse(body);
  return status === SERVICE_UNAVAILABLE
    && (method === 'GET' || (problem.success && problem.data.outcome === 'not-run'));
}

/** Exit code for an attempt without an answer. */
function chooseExitCode({ method }: AdministrationRequest, attempt: Attempt) {
  return method === 'POST' && attempt.kind === 'failed' && attempt.mayHaveReachedEntry
    ? EXIT_CODES.outcomeUnknown
    : EXIT_CODES.unreachable;
}

/**
 * Sends a request to the entries in order. A change goes to the next entry only if it
 * certainly had no effect at the previous one.
 *
 * Failures: `unreachable`; `outcomeUnknown` for a change whose answer was lost.
 */
export default async function sendWithFailover(
  dispatcher: Dispatcher,
  { entries, token }: ConnectionOptions,
  request: AdministrationRequest,
): Promise<Result<HttpAnswer, Failure>> {
  const messages: string[] = [];
  let result: Result<HttpAnswer, Failure> = err({ exitCode: EXIT_CODES.usage, message: 'no entry is known' });
  for (const entry of entries) {
    const attempt = await sendRequest(dispatcher, entry, token, request);
    if (attempt.kind === 'answered') {
      result = ok(attempt.answer);
    } else {
      messages.push(attempt.message);
      // A lost answer takes precedence over an earlier refusal, a refusal over an unreachable entry.
      const exitCode = chooseExitCode(request, attempt);
      result = result.isOk() && exitCode === EXIT_CODES.unreachable
        ? result
        : err({ exitCode, message: messages.join('\n') });
    }
    if (!canFailOver(request, attempt)) {
      return result;
    }
  }
  return result;
}
