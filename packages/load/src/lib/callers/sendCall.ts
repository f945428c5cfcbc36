import { Problem } from '@dandelionlane/core';
import { expectedAnswer, promptOf } from '@dandelionlane/standin';
import { request, type Dispatcher } from 'undici';
import type PlannedCall from '../arrivals/PlannedCall.js';
import type CallerParts from './CallerParts.js';
import type CallOutcome from './CallOutcome.js';
import type CallResult from './CallResult.js';
import ChatStreamReader from './ChatStreamReader.js';
import checkBody from './checkBody.js';
import isNotConnected from './isNotConnected.js';
import toHTTPCall from './toHTTPCall.js';
import toMessages from './toMessages.js';

type Answer = Dispatcher.ResponseData;

function describeFailure(error: unknown): CallOutcome {
  if (isNotConnected(error)) {
    return { kind: 'unreachable', detail: String(error) };
  }
  return error instanceof Error && error.name === 'TimeoutError'
    ? { kind: 'timeout' }
    : { kind: 'broken', detail: String(error) };
}

async function readRefusal(answer: Answer): Promise<CallOutcome> {
  const problem = Problem.safeParse(await answer.body.json().catch(() => undefined)).data;
  return problem === undefined
    ? { kind: 'failed', status: answer.statusCode }
    : { kind: 'refused', problem };
}

async function readStream(call: PlannedCall, answer: Answer, { clock }: CallerParts): Promise<CallResult> {
  const { content } = call;
  const expected = content.kind === 'chat'
    ? expectedAnswer(promptOf(toMessages(content.prompt)), content.maximumTokens)
    : '';
  const reader = new ChatStreamReader(expected, clock);
  let failure: CallOutcome | undefined;
  try {
    for await (const bytes of answer.body) {
      reader.push(bytes as Uint8Array);
    }
  } catch (error) {
    failure = describeFailure(error);
  }
  const outcome = reader.outcome();
  const cutOff = failure !== undefined && outcome.kind === 'broken';
  return { outcome: cutOff ? failure ?? outcome : outcome, tokenTimes: reader.tokenTimes };
}

async function readAnswer(call: PlannedCall, answer: Answer, parts: CallerParts): Promise<CallResult> {
  if (answer.statusCode >= 300) {
    return { outcome: await readRefusal(answer), tokenTimes: [] };
  }
  if (call.content.kind === 'chat' && call.content.stream) {
    return readStream(call, answer, parts);
  }
  return { outcome: checkBody(call, await answer.body.json()), tokenTimes: [] };
}

/** Sends a call to an entry and reads its answer. Never rejects. */
export default async function sendCall(
  call: PlannedCall,
  address: string,
  parts: CallerParts,
): Promise<CallResult> {
  const { path, ...options } = toHTTPCall(call, parts.timeoutMilliseconds);
  try {
    const answer = await request(`http://${address}${path}`, {
      ...options,
      dispatcher: parts.dispatcher,
      signal: AbortSignal.timeout(parts.timeoutMilliseconds),
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    return await readAnswer(call, answer, parts);
  } catch (error) {
    return { outcome: describeFailure(error), tokenTimes: [] };
  }
}
