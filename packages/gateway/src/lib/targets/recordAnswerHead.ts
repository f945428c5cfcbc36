import type { RandomSource } from '@dandelionlane/core';
import type { WorkerTable } from '@dandelionlane/fleet';
import type { Log } from '@dandelionlane/telemetry';
import type Candidate from '../choice/Candidate.js';
import MISDIRECTED_STATUS from '../relay/MISDIRECTED_STATUS.js';
import isForeignAnswer from '../relay/isForeignAnswer.js';
import type AnswerHead from '../wire/AnswerHead.js';

/** Statuses with which a target asks for no requests for a while. */
const BACKOFF_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** Longest pause that is honoured, in ms: a target that asks for a longer one is tried hourly. */
const MAXIMUM_PAUSE_MILLISECONDS = 3_600_000;

/** Largest random share added to a pause, so that entries do not all return at the same time. */
const MAXIMUM_JITTER_SHARE = 0.1;

/** Dependencies of `recordAnswerHead`. */
interface RecordingContext {
  readonly workers: WorkerTable;
  readonly random: RandomSource;
  readonly log: Log;
}

/** Head of an answer, with the id of the request that it came for. */
interface ReceivedHead {
  readonly status: number;
  readonly head: AnswerHead;
  readonly requestId: string | null;
}

/** Records what the head of an answer says about the target itself. A foreign one says nothing. */
export default function recordAnswerHead(
  { workers, random, log }: RecordingContext,
  { entry: { worker }, state, formation }: Candidate,
  { status, head, requestId }: ReceivedHead,
): void {
  if (isForeignAnswer(head, requestId)) {
    return;
  }
  if (status === MISDIRECTED_STATUS) {
    // Another worker has answered, or one that is not the head of the formation.
    state.recordAbsence({ bornAt: worker.bornAt, formation });
    return;
  }
  if (head.load !== null) {
    state.recordReportedLoad(head.load);
  }
  // Only an answer that is certainly the target's own can lift a limit.
  if ((head.limitRequestsPerSecond !== null || head.signed)
    && state.limit.record({ bornAt: worker.bornAt, requestsPerSecond: head.limitRequestsPerSecond })) {
    log.info('Worker has changed its limit.', {
      worker: worker.id, requestsPerSecond: head.limitRequestsPerSecond,
    });
  }
  if (head.leaving) {
    workers.markLeaving(worker);
  }
  if (BACKOFF_STATUSES.has(status) && head.retryAfterMilliseconds !== null) {
    const pause = Math.min(head.retryAfterMilliseconds, MAXIMUM_PAUSE_MILLISECONDS);
    state.holdOff(worker.bornAt, pause * (1 + random.next() * MAXIMUM_JITTER_SHARE));
  }
}
