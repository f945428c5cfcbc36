import { request } from 'undici';
import { HEADERS } from '@dandelionlane/core';
import type CallAnswer from './CallAnswer.js';

const TIMEOUT_MILLISECONDS = 30_000;

/** Sends one request as a team and reads the answer whole. */
export default async function callSystem(
  address: string,
  method: 'GET' | 'POST',
  path: string,
  body?: object,
  key?: string,
): Promise<CallAnswer> {
  const answer = await request(`http://${address}${path}`, {
    method,
    headers: {
      [HEADERS.team]: 'demo-team',
      'content-type': 'application/json',
      ...(key === undefined ? {} : { [HEADERS.idempotencyKey]: key }),
    },
    body: body === undefined ? null : JSON.stringify(body),
    signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
  });
  const retryAfter = answer.headers['retry-after'];
  return {
    status: answer.statusCode,
    text: await answer.body.text(),
    retryAfterSeconds: retryAfter === undefined ? null : Number(retryAfter),
  };
}
