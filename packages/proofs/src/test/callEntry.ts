import { request, type Dispatcher } from 'undici';
import { HEADERS, Problem } from '@dandelionlane/core';
import type Answer from './Answer.js';

const TIMEOUT_MILLISECONDS = 30_000;

/** One call of a test. */
interface Call {
  readonly method?: 'GET' | 'POST';
  readonly path: string;
  readonly body?: object | string;
  readonly key?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
  readonly dispatcher?: Dispatcher;
}

function parseProblem(text: string): Problem | null {
  try {
    const parsed = Problem.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : null;
  } catch {
    return null;
  }
}

/** Sends a call to `host:port` as team `desk` and reads the answer as far as it comes. */
export default async function callEntry(address: string, call: Call): Promise<Answer> {
  const { body } = call;
  const answer = await request(`http://${address}${call.path}`, {
    method: call.method ?? (body === undefined ? 'GET' : 'POST'),
    headers: {
      [HEADERS.team]: 'desk',
      'content-type': 'application/json',
      ...(call.key === undefined ? {} : { [HEADERS.idempotencyKey]: call.key }),
      ...call.headers,
    },
    body: typeof body === 'object' ? JSON.stringify(body) : body ?? null,
    signal: call.signal ?? AbortSignal.timeout(TIMEOUT_MILLISECONDS),
    ...(call.dispatcher === undefined ? {} : { dispatcher: call.dispatcher }),
  });
  let text = '';
  let broken = false;
  try {
    answer.body.setEncoding('utf8');
    for await (const chunk of answer.body) {
      text += chunk as string;
    }
  } catch {
    broken = true;
  }
  return {
    status: answer.statusCode, headers: answer.headers, text, broken, problem: parseProblem(text),
  };
}
