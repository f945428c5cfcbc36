import type { Readable } from 'node:stream';
import { ResultAsync } from 'neverthrow';
import type AttemptFailure from './AttemptFailure.js';

class TooLargeError extends Error {}

async function collect(body: Readable, maximumBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    const buffer = chunk as Buffer;
    bytes += buffer.length;
    if (bytes > maximumBytes) {
      throw new TooLargeError(`answer is larger than ${maximumBytes} bytes`);
    }
    chunks.push(buffer);
  }
  return Buffer.concat(chunks, bytes);
}

/** Reads the whole body of an answer. A truncated or oversized body fails the attempt. */
export default function readBounded(
  body: Readable,
  maximumBytes: number,
): ResultAsync<Buffer, AttemptFailure> {
  return ResultAsync.fromPromise(collect(body, maximumBytes), (cause): AttemptFailure => ({
    progress: { kind: 'sent' },
    cause: cause instanceof Error && cause.name === 'TimeoutError' ? 'target-timeout' : 'target-lost',
    detail: cause instanceof Error ? cause.message : String(cause),
  }));
}
