import SOAK_NAMES from '../SOAK_NAMES.js';
import type SentRequest from './SentRequest.js';
import type SoakJournal from './SoakJournal.js';
import type Violation from './Violation.js';
import type WorkerRun from './WorkerRun.js';
import checkAttempts from './checkAttempts.js';
import checkCrashes from './checkCrashes.js';
import checkDirectories from './checkDirectories.js';
import checkLost from './checkLost.js';
import checkMemory from './checkMemory.js';
import checkPathCuts from './checkPathCuts.js';
import expectedBody from './expectedBody.js';
import groupRuns from './groupRuns.js';

/** Statuses that promise that the request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Statuses that deny a proper request; every request of a soak is proper. */
const DENIALS: ReadonlySet<number> = new Set([400, 401, 403, 404, 413, 431]);

/** Calm before a moment with which bounds of time hold, in ms: the users' `stable_window_ms`. */
const STABLE_MILLISECONDS = 4_000;

/** Time in which work has to stop going to a worker that leaves, in ms: the users' `drain_ms`. */
const DRAIN_MILLISECONDS = 3_000;

/** What an answer may take beyond the deadline, in ms: the users' bound for answers at a route's timeout. */
const LATE_MILLISECONDS = 500;

function broken(promise: string, detail: string, timed = false): Violation {
  return { promise, detail, timed };
}

function checkRun(run: WorkerRun, journal: SoakJournal): readonly Violation[] {
  const request = journal.requests.get(run.requestId);
  if (request === undefined) {
    return [broken('unasked', `${run.worker} ran ${run.requestId}, which nobody sent`)];
  }
  const drainedAt = journal.drainedAt.get(run.worker);
  const isLate = drainedAt !== undefined && run.startedAt > drainedAt + DRAIN_MILLISECONDS
    && journal.isCalm(drainedAt - STABLE_MILLISECONDS, run.startedAt);
  return [
    ...run.body === request.body ? [] : [broken('unasked', `${run.requestId} ran with another body`)],
    ...run.team === SOAK_NAMES.team ? [] : [broken('unasked', `${run.requestId} ran for team ${String(run.team)}`)],
    ...isLate ? [broken('drain', `${run.requestId} reached ${run.worker} after it had left`, true)] : [],
  ];
}

function checkSuccess(
  request: SentRequest,
  answer: { readonly signature: string | null; readonly body: string; readonly whole: boolean },
  runs: readonly WorkerRun[],
): readonly Violation[] {
  const expected = expectedBody(request);
  const isBodyRight = answer.whole ? answer.body === expected : expected.startsWith(answer.body);
  const isOwn = runs.some(({ signature }) => signature === answer.signature);
  return [
    ...isBodyRight ? [] : [broken(
      request.kind === 'stream' ? 'order' : 'mixed', (
        `${request.id} got ${answer.whole ? 'a whole' : 'a cut'} body of ${answer.body.length} bytes that is not its own`
      ),
    )],
    ...isOwn ? [] : [broken('mixed', `${request.id} got a success signed ${String(answer.signature)}, of no run of its own`)],
  ];
}

function checkRequest(
  request: SentRequest,
  runs: readonly WorkerRun[],
  journal: SoakJournal,
): readonly Violation[] {
  const { id, kind, outcome } = request;
  const repeated = kind === 'once' && runs.length > 1
    ? [broken('twice', `${id} ran ${runs.length} times: ${runs.map(({ worker }) => worker).join(', ')}`)] : [];
  if (outcome === null) {
    return repeated;
  }
  const dueAt = request.sentAt + request.deadlineMilliseconds + LATE_MILLISECONDS;
  const isHeld = outcome.endedAt > dueAt && journal.isCalm(request.sentAt - STABLE_MILLISECONDS, dueAt);
  const held = isHeld ? [broken('held', `${id} had no final answer in time`, true)] : [];
  const lost = checkLost(request, runs, journal);
  if (outcome.kind !== 'answered') {
    return [...repeated, ...held, ...lost];
  }
  const { status } = outcome;
  const refused = kind === 'once' && NOT_RUN_STATUSES.has(status) && runs.length > 0
    ? [broken('refused', `${id} was answered ${status} and has run`)] : [];
  const denied = DENIALS.has(status) ? [broken('denied', `${id} was answered ${status}`)] : [];
  const success = status === 200 ? checkSuccess(request, outcome, runs) : [];
  return [...repeated, ...held, ...lost, ...refused, ...denied, ...success];
}

/** Promises that were broken, from what callers and workers saw. */
export default function findViolations(journal: SoakJournal): readonly Violation[] {
  const runsOf = groupRuns(journal.runs);
  return [
    ...journal.violations,
    ...checkPathCuts(journal),
    ...checkCrashes(journal),
    ...checkAttempts(journal),
    ...checkDirectories(journal),
    ...checkMemory(journal),
    ...journal.runs.flatMap((run) => checkRun(run, journal)),
    ...[...journal.requests.values()].flatMap((request) => (
      checkRequest(request, runsOf.get(request.id) ?? [], journal)
    )),
  ];
}
