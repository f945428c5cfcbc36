import type { IncomingMessage } from 'node:http';
import { ResultAsync } from 'neverthrow';
import { ServingError } from '@dandelionlane/core';

const MILLISECONDS_PER_SECOND = 1_000;

async function collect(incoming: IncomingMessage, maximumBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of incoming) {
    const buffer = chunk as Buffer;
    bytes += buffer.length;
    if (bytes > maximumBytes) {
      // eslint-disable-next-line @typescript-eslint/only-throw-error -- its type hides that it is an Error
      throw new ServingError(`body is larger than ${maximumBytes} bytes`, { kind: 'body-too-large' });
    }
    chunks.push(buffer);
  }
  return Buffer.concat(chunks, bytes);
}

/** Reads a whole body. Errors: `body-too-large`; `malformed-request` for a truncated or late body. */
export default function receiveBody(
  incoming: IncomingMessage,
  maximumBytes: number,
  timeoutMilliseconds: number,
): ResultAsync<Buffer, ServingError> {
  const declared = Number(incoming.headers['content-length'] ?? 0);
  if (declared > maximumBytes) {
    return ResultAsync.fromPromise(
      Promise.reject(new Error('declared length')),
      () => new ServingError(`body is larger than ${maximumBytes} bytes`, { kind: 'body-too-large' }),
    );
  }
  const timer = setTimeout(
    () => incoming.destroy(new Error(`body took longer than ${timeoutMilliseconds / MILLISECONDS_PER_SECOND} s`)),
    timeoutMilliseconds,
  );
  return ResultAsync.fromPromise(
    collect(incoming, maximumBytes).finally(() => clearTimeout(timer)),
    (cause) => (cause instanceof ServingError
      ? cause
      : new ServingError('body was not received whole', { kind: 'malformed-request', cause })),
  );
}
