import { ServingError } from '@dandelionlane/core';
import type Choice from '../choice/Choice.js';

/** Time after which a slot is likely to be free again, in s. */
const SLOT_RETRY_SECONDS = 0.3;

/** Time after which a group that is being re-formed is likely to serve, in s. */
const GROUP_RETRY_SECONDS = 0.8;

const MILLISECONDS_PER_SECOND = 1_000;

/** How to tell callers when to return to full targets. */
interface RetryTimes {
  /** Time that the queue of the request needs, in ms; null while that is not known. */
  readonly queueMilliseconds: number | null;
  /** Draws a `Retry-After` from the time after which a target is expected to be free, both in s. */
  readonly draw: (expectedSeconds: number) => number;
}

/** Creates the refusal for a choice that found no target. The request has not run. */
export default function createRefusal(
  choice: Extract<Choice, { kind: 'none' }>,
  { queueMilliseconds, draw }: RetryTimes,
): ServingError {
  switch (choice.reason) {
    case 'no-target':
    case 'no-path':
    case 'all-suspected':
      return new ServingError(`no target: ${choice.reason}`, {
        kind: 'no-whole-replica', retryAfterSeconds: GROUP_RETRY_SECONDS,
      });
    case 'all-full':
      return new ServingError('no target: all-full', {
        kind: 'overloaded',
        retryAfterSeconds: draw(queueMilliseconds === null
          ? SLOT_RETRY_SECONDS : queueMilliseconds / MILLISECONDS_PER_SECOND),
      });
    case 'queue-full':
      return new ServingError('no target: queue-full', {
        kind: 'overloaded', retryAfterSeconds: draw(choice.retryAfterMilliseconds / MILLISECONDS_PER_SECOND),
      });
    case 'all-cold':
      return new ServingError(`no target: ${choice.reason}`, {
        kind: 'overloaded', retryAfterSeconds: SLOT_RETRY_SECONDS,
      });
    case 'all-held-off':
    case 'all-limited':
      return new ServingError(`no target: ${choice.reason}`, {
        kind: 'overloaded', retryAfterSeconds: choice.retryAfterMilliseconds / MILLISECONDS_PER_SECOND,
      });
    default:
      return choice satisfies never;
  }
}
