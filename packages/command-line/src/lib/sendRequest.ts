import { type Dispatcher, request } from 'undici';
import type Attempt from './Attempt.js';
import type AdministrationRequest from './AdministrationRequest.js';
import isConnectFailure from './isConnectFailure.js';

/** Short, so that a read fails over to the next entry quickly. */
const READ_TIMEOUT_MILLISECONDS = 5_000;

/** Long, so that a slow change rarely ends with an unknown outcome. */
const CHANGE_TIMEOUT_MILLISECONDS = 30_000;

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function buildHeaders(
  administrationRequest: AdministrationRequest,
  token: string | undefined,
): Record<string, string> {
  return {
    accept: 'application/json',
    ...(administrationRequest.method === 'POST' ? { 'content-type': 'application/json' } : {}),
    ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
  };
}

/** Sends one request to one entry. Never rejects. */
export default async function sendRequest(
  dispatcher: Dispatcher,
  entry: string,
  token: string | undefined,
  administrationRequest: AdministrationRequest,
): Promise<Attempt> {
  const timeoutMilliseconds = administrationRequest.method === 'GET'
    ? READ_TIMEOUT_MILLISECONDS
    : CHANGE_TIMEOUT_MILLISECONDS;
  try {
    const { statusCode, body } = await request(`http://${entry}${administrationRequest.path}`, {
      dispatcher,
      method: administrationRequest.method,
      headersTimeout: timeoutMilliseconds,
      bodyTimeout: timeoutMilliseconds,
      headers: buildHeaders(administrationRequest, token),
      ...(administrationRequest.method === 'POST'
        ? { body: JSON.stringify(administrationRequest.body) }
        : {}),
    });
    return { kind: 'answered', answer: { status: statusCode, body: parseJson(await body.text()) } };
  } catch (error) {
    return {
      kind: 'failed',
      mayHaveReachedEntry: !isConnectFailure(error),
      message: `${entry}: ${String(error)}`,
    };
  }
}
