import { ResultAsync } from 'neverthrow';
import type { Dispatcher } from 'undici';
import { ServingError, limitInterimHeads } from '@dandelionlane/core';
import type JSONAnswer from './JSONAnswer.js';
import type JSONRequest from './JSONRequest.js';
import isNeverSent from './isNeverSent.js';
import startTimeout from './startTimeout.js';

/** Largest accepted answer, in bytes: several times the largest page of rows or conflict. */
const MAXIMUM_ANSWER_BYTES = 16 * 1_024 * 1_024;

/** Reads a body up to the size limit: a faulty server may send an endless one. */
async function readText(body: Dispatcher.ResponseData['body'], onPart: () => void): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += (chunk as Buffer).length;
    if (size > MAXIMUM_ANSWER_BYTES) {
      // Leaving the loop early closes the connection.
      throw new RangeError(`answer is larger than ${MAXIMUM_ANSWER_BYTES} bytes`);
    }
    chunks.push(chunk as Buffer);
    onPart();
  }
  return Buffer.concat(chunks).toString('utf8');
}

async function exchange(
  dispatcher: Dispatcher,
  request: JSONRequest,
  signal: AbortSignal,
  onPart: () => void,
): Promise<JSONAnswer> {
  const answer = await dispatcher.request({
    origin: request.origin,
    path: request.path,
    method: request.method,
    headersTimeout: request.timeoutMilliseconds,
    bodyTimeout: request.timeoutMilliseconds,
    ...limitInterimHeads(signal),
    headers: {
      ...request.headers,
      ...(request.body === undefined ? {} : { 'content-type': 'application/json' }),
    },
    ...(request.body === undefined ? {} : { body: JSON.stringify(request.body) }),
  });
  const text = await readText(answer.body, onPart);
  const isJSON = String(answer.headers['content-type'] ?? '').includes('json');
  const data: unknown = text === '' || !isJSON ? null : JSON.parse(text);
  return { status: answer.statusCode, headers: answer.headers, data };
}

/** Converts a cause to an error: an abort's reason is a `DOMException`, which modern-errors cannot wrap. */
function toError(cause: unknown): Error {
  return cause instanceof Error && !(cause instanceof DOMException) ? cause : new Error(String(cause));
}

/**
 * Sends one JSON request. Errors: `store-unavailable` when no connection was established,
 * `store-outcome-unknown` when the request may have been received.
 */
export default function sendJSON(
  dispatcher: Dispatcher,
  request: JSONRequest,
): ResultAsync<JSONAnswer, ServingError> {
  const { timeoutMilliseconds, maximumMilliseconds = timeoutMilliseconds } = request;
  const timeout = startTimeout(timeoutMilliseconds);
  const restartsUntil = performance.now() + maximumMilliseconds - timeoutMilliseconds;
  const onPart = () => {
    if (performance.now() < restartsUntil) {
      timeout.restart();
    }
  };
  const exchanged = Promise.race([exchange(dispatcher, request, timeout.signal, onPart), timeout.expired])
    .finally(() => timeout.clear());
  return ResultAsync.fromPromise(exchanged, (cause) => new ServingError(
    `${request.method} ${request.origin}${request.path} failed`,
    { kind: isNeverSent(cause) ? 'store-unavailable' : 'store-outcome-unknown', cause: toError(cause) },
  ));
}
