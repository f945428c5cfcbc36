import type { IncomingMessage } from 'node:http';
import {
  BodyBuffer, type BlockPool, type Clock, type MemoryBudget,
} from '@dandelionlane/core';
import BodyPace from './BodyPace.js';

/** Period of the check for bodies that come too slowly, in ms. */
const CHECK_PERIOD_MILLISECONDS = 2_000;

/**
 * Mean size of chunks from which bytes may stay unread in the buffers of a request: each chunk takes a
 * hundred bytes and more there.
 */
const LINGERING_CHUNK_BYTES = 512;

/** Outcome of reading the body of a request. */
type BodyOutcome = | {
  readonly kind: 'whole';
  readonly body: Buffer;
  /** Has to be called when the body is no longer used. */
  readonly release: () => void;
}
  | {
    /** `given-up`: all requests together hold too many bytes. */
    readonly kind: 'too-large' | 'too-slow' | 'given-up';
    /** Whether the connection may stay open for a while with bytes unread. */
    readonly lingers: boolean;
  }
  | { readonly kind: 'cut' };

/** Options of `readBody`. */
interface ReadOptions {
  /** Limit on the body, in bytes. */
  readonly maximumBytes: number;
  /** Whether the bytes are needed; if not, they are only counted. */
  readonly keeps: boolean;
  readonly budget: MemoryBudget;
  readonly blocks: BlockPool;
  readonly clock: Clock;
}

/**
 * Reads a whole body within the limits on its size, its pace and the memory of the entry. Never rejects.
 * Bytes that come after another outcome stay unread.
 */
export default function readBody(incoming: IncomingMessage, options: ReadOptions): Promise<BodyOutcome> {
  const {
    maximumBytes, keeps, budget, blocks, clock,
  } = options;
  return new Promise((resolve) => {
    const buffer = new BodyBuffer(blocks);
    let size = 0;
    let chunks = 0;
    let isSettled = false;
    let timer: NodeJS.Timeout | undefined;
    const settle = (outcome: BodyOutcome): void => {
      if (!isSettled) {
        isSettled = true;
        clearInterval(timer);
        buffer.clear();
        resolve(outcome);
      }
    };
    const refuse = (kind: 'too-large' | 'too-slow' | 'given-up'): void => {
      incoming.pause();
      settle({ kind, lingers: size >= chunks * LINGERING_CHUNK_BYTES });
    };
    const holding = budget.add('unfinished-body', () => refuse('given-up'));
    const fail = (kind: 'too-large' | 'too-slow' | 'cut'): void => {
      if (isSettled) {
        return;
      }
      budget.remove(holding);
      if (kind === 'cut') {
        settle({ kind });
      } else {
        refuse(kind);
      }
    };
    const pace = new BodyPace(clock.monotonicMilliseconds());
    timer = setInterval(() => {
      if (pace.isTooSlow(size, clock.monotonicMilliseconds())) {
        fail('too-slow');
      }
    }, CHECK_PERIOD_MILLISECONDS);
    incoming.on('data', (chunk: Buffer) => {
      if (isSettled) {
        return;
      }
      size += chunk.length;
      chunks += 1;
      if (size > maximumBytes) {
        fail('too-large');
      } else if (keeps) {
        buffer.push(chunk);
        budget.record(holding, buffer.allocatedBytes);
      }
    });
    incoming.once('end', () => {
      if (!isSettled) {
        const body = buffer.toBuffer();
        budget.finishBody(holding, body.length);
        settle({ kind: 'whole', body, release: () => budget.remove(holding) });
      }
    });
    incoming.once('error', () => fail('cut'));
    incoming.once('close', () => fail('cut'));
  });
}
