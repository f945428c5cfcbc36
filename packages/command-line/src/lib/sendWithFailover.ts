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

/** Whether another entry may do better without any risk that the request runs twice. */
function mayTryNext({ method }: AdministrationRequest, attempt: Attempt): boolean {
  if (attempt.kind === 'failed') {
    return method === 'GET' || !attempt.mayHaveReachedEntry;
  }
  const { status, body } = attempt.answer;
  const problem = Problem.safeParse(body);
  return status === SERVICE_UNAVAILABLE
    && (method === 'GET' || (problem.success && problem.data.outcome === 'not-run'));
}

/** The exit code where no entry has answered. */
function chooseExitCode({ method }: AdministrationRequest, attempt: Attempt) {
  return method === 'POST' && attempt.kind === 'failed' && attempt.mayHaveReachedEntry
    ? EXIT_CODES.outcomeUnknown
    : EXIT_CODES.unreachable;
}

/**
 * Sends a request to the entries in turn. A change goes to the next entry only if it is
 * certain that it took no effect at the one before.
 *
 * Failures: `unreachable`; `outcomeUnknown` for a change whose answer was lost.
 */
export default async function sendWithFailover(
  dispatcher: Dispatcher,
  { entries, token }: ConnectionOptions,
  exchange: AdministrationRequest,
): Promise<Result<HttpAnswer, Failure>> {
  const messages: string[] = [];
  let result: Result<HttpAnswer, Failure> = err({ exitCode: EXIT_CODES.usage, message: 'no entry is known' });
  for (const entry of entries) {
    const attempt = await sendRequest(dispatcher, entry, token, exchange);
    if (attempt.kind === 'answered') {
      result = ok(attempt.answer);
    } else {
      messages.push(attempt.message);
      // A lost answer goes before an earlier refusal, a refusal before an unreachable entry.
      const exitCode = chooseExitCode(exchange, attempt);
      result = result.isOk() && exitCode === EXIT_CODES.unreachable
        ? result
        : err({ exitCode, message: messages.join('\n') });
    }
    if (!mayTryNext(exchange, attempt)) {
      return result;
    }
  }
  return result;
}
