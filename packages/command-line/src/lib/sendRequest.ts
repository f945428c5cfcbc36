import { type Dispatcher, request } from 'undici';
import type Attempt from './Attempt.js';
import type AdministrationRequest from './AdministrationRequest.js';
import isConnectFailure from './isConnectFailure.js';

/** Short, so that reading goes on to the next entry soon. */
const READ_TIMEOUT_MILLISECONDS = 5_000;

/** Long, so that the outcome of a change is seldom left unknown. */
const CHANGE_TIMEOUT_MILLISECONDS = 30_000;

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function buildHeaders(exchange: AdministrationRequest, token: string | undefined): Record<string, string> {
  return {
    accept: 'application/json',
    ...(exchange.method === 'POST' ? { 'content-type': 'application/json' } : {}),
    ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
  };
}

/** Sends one request to one entry. Never rejects. */
export default async function sendRequest(
  dispatcher: Dispatcher,
  entry: string,
  token: string | undefined,
  exchange: AdministrationRequest,
): Promise<Attempt> {
  const timeout = exchange.method === 'GET' ? READ_TIMEOUT_MILLISECONDS : CHANGE_TIMEOUT_MILLISECONDS;
  try {
    const { statusCode, body } = await request(`http://${entry}${exchange.path}`, {
      dispatcher,
      method: exchange.method,
      headersTimeout: timeout,
      bodyTimeout: timeout,
      headers: buildHeaders(exchange, token),
      ...(exchange.method === 'POST' ? { body: JSON.stringify(exchange.body) } : {}),
    });
    return { kind: 'answered', answer: { status: statusCode, body: parseJson(await body.text()) } };
  } catch (error) {
    return { kind: 'failed', mayHaveReachedEntry: !isConnectFailure(error), message: `${entry}: ${String(error)}` };
  }
}
