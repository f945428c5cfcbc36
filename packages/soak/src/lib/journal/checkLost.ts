import type CallerOutcome from './CallerOutcome.js';
import type SentRequest from './SentRequest.js';
import type SoakJournal from './SoakJournal.js';
import type Violation from './Violation.js';
import type WorkerRun from './WorkerRun.js';

/** Time after which the end of a request that was read counts, in ms: the users' `lost_ms`. */
const LOST_MILLISECONDS = 200;

/** Latest time after SIGTERM at which a request may be sent that the end of the grace period cuts, in ms. */
const LATEST_SENT_MILLISECONDS = 3_000;

/** Part of the grace period, at its end, in which such requests may be cut. */
const LAST_PART_OF_GRACE = 1 / 6;

function isAnswered(outcome: CallerOutcome): boolean {
  return outcome.kind === 'answered' && outcome.whole;
}

/** Whether the entry took the request: it has run, was answered in part, or was read and kept for a while. */
function isAccepted({ sentAt }: SentRequest, outcome: CallerOutcome, runs: readonly WorkerRun[]): boolean {
  return runs.length > 0 || outcome.kind === 'answered'
    || (outcome.kind === 'disconnected' && outcome.read && outcome.endedAt > sentAt + LOST_MILLISECONDS);
}

/** Whether a fault held the entry of a request, or the link that it came over. */
function isEntryDisturbed(
  { entry, overLink, sentAt }: SentRequest,
  endedAt: number,
  journal: SoakJournal,
): boolean {
  return journal.disturbedParts(sentAt, endedAt).some((part) => (
    ((part.kind === 'entry' || part.kind === 'paths') && part.entry === entry)
      || (part.kind === 'caller-link' && part.entry === entry && overLink)
  ));
}

/** Whether the worker broke the run off or ended, or its link was cut meanwhile. */
function isRunDisturbed(
  { worker, startedAt, brokenAt }: WorkerRun,
  endedAt: number,
  journal: SoakJournal,
): boolean {
  return (brokenAt !== null && brokenAt <= endedAt) || journal.disturbedParts(startedAt, endedAt)
    .some((part) => (part.kind === 'worker' || part.kind === 'worker-link') && part.worker === worker);
}

/** Whether the grace period ran out for a request that was sent early in it and was still at work. */
function isGraceOver(
  { entry, sentAt }: SentRequest,
  endedAt: number,
  { answeredAt }: WorkerRun,
  { stops }: SoakJournal,
): boolean {
  return stops.some((stop) => {
    const lastPartAt = stop.at + stop.graceMilliseconds * (1 - LAST_PART_OF_GRACE);
    return stop.entry === entry && endedAt >= lastPartAt && sentAt <= stop.at + LATEST_SENT_MILLISECONDS
      && sentAt <= stop.goneAt && (answeredAt ?? Number.POSITIVE_INFINITY) >= lastPartAt;
  });
}

/** The last run that the entry still listened to at the end; the last of all where it had left each. */
function findLastRun(runs: readonly WorkerRun[], endedAt: number): WorkerRun | undefined {
  const begun = runs.filter(({ startedAt }) => startedAt <= endedAt);
  const heard = begun.filter(({ abandonedAt }) => abandonedAt === null || abandonedAt > endedAt);
  return heard.at(-1) ?? begun.at(-1) ?? runs.at(-1);
}

function describeStop({ entry }: SentRequest, endedAt: number, { stops }: SoakJournal): string {
  const stop = stops.find((each) => (
    each.entry === entry && each.at <= endedAt && endedAt <= each.goneAt + LOST_MILLISECONDS
  ));
  return stop === undefined ? '' : `, ${Math.round(endedAt - stop.at)} ms after SIGTERM`;
}

function describeRuns(runs: readonly WorkerRun[], sentAt: number): string {
  const since = (at: number) => Math.round(at - sentAt);
  return runs.map(({
    worker, startedAt, brokenAt, abandonedAt,
  }) => `${worker} from ${since(startedAt)} ms${
    brokenAt === null ? '' : `, broken off at ${since(brokenAt)} ms`
  }${abandonedAt === null ? '' : `, left at ${since(abandonedAt)} ms`}`).join('; ') || 'none';
}

/** A request that was accepted and ended without a whole answer, for no reason that the rules allow. */
export default function checkLost(
  request: SentRequest,
  runs: readonly WorkerRun[],
  journal: SoakJournal,
): readonly Violation[] {
  const { outcome } = request;
  if (outcome === null || isAnswered(outcome) || !isAccepted(request, outcome, runs)) {
    return [];
  }
  const { endedAt } = outcome;
  // An entry may try two workers side by side, and a silent one may begin its run after it was left.
  const last = findLastRun(runs, endedAt);
  const isExcused = endedAt >= request.sentAt + request.deadlineMilliseconds
    || isEntryDisturbed(request, endedAt, journal)
    || (last !== undefined && isRunDisturbed(last, endedAt, journal))
    || (last !== undefined && isGraceOver(request, endedAt, last, journal));
  const seen = outcome.kind === 'answered' ? `was answered ${outcome.status} in part` : 'got no answer';
  return isExcused ? [] : [{
    promise: 'lost',
    detail: `${request.id} (${request.kind}) at ${request.entry} ${seen} after ${Math.round(endedAt - request.sentAt)} ms`
      + `${describeStop(request, endedAt, journal)}; runs: ${describeRuns(runs, request.sentAt)}`,
    timed: false,
  }];
}
