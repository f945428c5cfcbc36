import type { IncomingMessage } from 'node:http';
import {
  err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {
  BodyBuffer, ServingError, readAnnouncedBytes, type BlockPool, type MemoryBudget,
} from '@dandelionlane/core';

const MILLISECONDS_PER_SECOND = 1_000;

/** A body that has been received whole. */
interface ReceivedBody {
  readonly body: Buffer;
  /** Has to be called when the body is no longer used. */
  readonly release: () => void;
}

/** Options of `receiveBody`. */
interface ReceiveOptions {
  readonly maximumBytes: number;
  readonly timeoutMilliseconds: number;
  readonly budget: MemoryBudget;
  readonly blocks: BlockPool;
}

function tooLarge(maximumBytes: number): ServingError {
  return new ServingError(`body is larger than ${maximumBytes} bytes`, { kind: 'body-too-large' });
}

function memoryFull(): ServingError {
  return new ServingError('bodies hold as many bytes as this entry may hold', { kind: 'memory-full' });
}

function notWhole(reason: string): ServingError {
  return new ServingError(`body was not received whole: ${reason}`, { kind: 'malformed-request' });
}

function collect(
  incoming: IncomingMessage,
  {
    maximumBytes, timeoutMilliseconds, budget, blocks,
  }: ReceiveOptions,
): Promise<Result<ReceivedBody, ServingError>> {
  return new Promise((resolve) => {
    const buffer = new BodyBuffer(blocks);
    let isSettled = false;
    let timer: NodeJS.Timeout | undefined;
    const settle = (result: Result<ReceivedBody, ServingError>): void => {
      isSettled = true;
      clearTimeout(timer);
      buffer.clear();
      resolve(result);
    };
    const holding = budget.add('unfinished-body', () => {
      incoming.pause();
      settle(err(memoryFull()));
    });
    const fail = (error: ServingError): void => {
      if (!isSettled) {
        budget.remove(holding);
        incoming.pause();
        settle(err(error));
      }
    };
    timer = setTimeout(() => {
      fail(notWhole(`it took longer than ${timeoutMilliseconds / MILLISECONDS_PER_SECOND} s`));
    }, timeoutMilliseconds);
    incoming.on('data', (chunk: Buffer) => {
      if (!isSettled && buffer.size + chunk.length > maximumBytes) {
        fail(tooLarge(maximumBytes));
      } else if (!isSettled) {
        buffer.push(chunk);
        budget.record(holding, buffer.allocatedBytes);
      }
    });
    incoming.once('end', () => {
      if (!isSettled) {
        const body = buffer.toBuffer();
        budget.finishBody(holding, body.length);
        settle(ok({ body, release: () => budget.remove(holding) }));
      }
    });
    incoming.once('error', ({ message }) => fail(notWhole(message)));
    incoming.once('close', () => fail(notWhole('its connection was closed')));
  });
}

/**
 * Reads a whole body. Errors: `body-too-large`; `memory-full`; `malformed-request` for a truncated or late
 * body.
 */
export default function receiveBody(
  incoming: IncomingMessage,
  options: ReceiveOptions,
): ResultAsync<ReceivedBody, ServingError> {
  const announcedBytes = readAnnouncedBytes(incoming);
  if (announcedBytes > options.maximumBytes) {
    return new ResultAsync(Promise.resolve(err(tooLarge(options.maximumBytes))));
  }
  if (!options.budget.hasRoomFor(announcedBytes)) {
    return new ResultAsync(Promise.resolve(err(memoryFull())));
  }
  return new ResultAsync(collect(incoming, options));
}
