import { Problem } from '@dandelionlane/core';
import { Result } from 'neverthrow';
import { z } from 'zod';
import type ChatEvent from './ChatEvent.js';

const Chunk = z.object({
  choices: z.array(z.object({
    delta: z.object({ content: z.string().optional() }),
    finish_reason: z.string().nullish(),
  })).min(1),
});
const ErrorChunk = z.object({ error: Problem });

const parseJSON = Result.fromThrowable((text: string): unknown => JSON.parse(text));

/** Reads the data of one event of a chat stream. */
export default function readChatEvent(data: string): ChatEvent {
  if (data === '[DONE]') {
    return { kind: 'done' };
  }
  const json = parseJSON(data).unwrapOr(undefined);
  const choice = Chunk.safeParse(json).data?.choices[0];
  if (choice !== undefined) {
    const finished = choice.finish_reason === 'stop';
    return finished ? { kind: 'stop' } : { kind: 'token', text: choice.delta.content ?? '' };
  }
  const problem = Problem.safeParse(json).data ?? ErrorChunk.safeParse(json).data?.error;
  return problem === undefined ? { kind: 'unknown' } : { kind: 'problem', problem };
}
