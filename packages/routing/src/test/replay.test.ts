import { readdir, readFile } from 'node:fs/promises';
import {
  EntryId, Grant, Priority, RequestId, RowVersion, TeamId,
} from '@dandelionlane/core';
import { expect, test } from 'vitest';
import { z } from 'zod';
import {
  AdmissionQueue, assessReplica, ConcurrencyLimiter, decideRetry, listWithdrawnGrants, mergeReport,
  planGrants, pruneWithdrawnGrants, RetryBudget,
  type DispatchTicket, type ReceivedReport, type WithdrawnGrant,
} from '../index.js';
import makeReplica from './makeReplica.js';
import makeReport from './makeReport.js';

const TRACES = new URL('./traces/', import.meta.url);
const FRESHNESS_MILLISECONDS = 3_000;

const at = z.number();
const outcome = z.enum(['success', 'failure', 'lost']);

/** Events of one replica at one entry. Each yields the assessment and the requests that may be sent. */
const ReplicaTrace = z.object({
  kind: z.literal('replica'),
  grant: Grant,
  events: z.array(z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('report'), at, report: z.record(z.string(), z.unknown()) }),
    z.object({ kind: z.literal('send'), at, count: z.number() }),
    z.object({
      kind: z.literal('end'), at, count: z.number(), outcome,
    }),
    z.object({ kind: z.literal('wait'), at }),
  ])),
});

/** Events at a planner. Each yields the grants that it would write. */
const GrantTrace = z.object({
  kind: z.literal('grants'),
  limits: z.object({
    coldConcurrency: z.number(), warmConcurrency: z.number(), requestTimeoutMilliseconds: z.number(),
  }),
  events: z.array(z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('plan'), at, homes: z.array(EntryId) }),
    z.object({ kind: z.literal('gone'), at, entry: EntryId }),
    z.object({ kind: z.literal('report'), at, runningRequests: z.number() }),
  ])),
});

/** Calls of an admission queue. Each yields its result. */
const AdmissionTrace = z.object({
  kind: z.literal('admission'),
  capacity: z.number(),
  events: z.array(z.discriminatedUnion('kind', [
    z.object({
      kind: z.literal('offer'), at, id: RequestId, team: TeamId, priority: Priority, until: z.number(),
    }),
    z.object({ kind: z.literal('release'), at, id: RequestId }),
    z.object({ kind: z.literal('expire'), at }),
  ])),
});

/** Consecutive failed attempts that share a budget. Each yields the decision. */
const RetryTrace = z.object({
  kind: z.literal('retry'),
  events: z.array(z.object({
    repeatable: z.boolean(),
    resumable: z.boolean(),
    attempts: z.number(),
    mayHaveRunBefore: z.boolean(),
    cause: z.enum(['target-refused', 'target-lost', 'target-timeout', 'replica-not-whole']),
    progress: z.discriminatedUnion('kind', [
      z.object({ kind: z.enum(['not-sent', 'refused', 'sent']) }),
      z.object({ kind: z.literal('answering'), deliveredTokens: z.number() }),
    ]),
  })),
});

const Trace = z.discriminatedUnion('kind', [ReplicaTrace, GrantTrace, AdmissionTrace, RetryTrace]);
type Trace = z.infer<typeof Trace>;

function replayReplica({ grant, events }: z.infer<typeof ReplicaTrace>): unknown[] {
  const replica = makeReplica(['vm-1', 'vm-2']);
  const receivedReports = new Map<string, ReceivedReport>();
  const limiter = new ConcurrencyLimiter({ grant, version: RowVersion.parse(1), readAtMilliseconds: 0 });
  const tickets: DispatchTicket[] = [];
  return events.map((event) => {
    if (event.kind === 'report') {
      const report = makeReport(event.report);
      receivedReports.set(report.vm, mergeReport(receivedReports.get(report.vm), report, event.at));
    } else if (event.kind === 'send') {
      Array.from({ length: event.count }, () => tickets.push(limiter.recordDispatch()));
    } else if (event.kind === 'end') {
      tickets.splice(0, event.count)
        .forEach((ticket) => limiter.recordCompletion(ticket, event.outcome, event.at));
    }
    const assessment = assessReplica(
      replica,
      [...receivedReports.values()],
      event.at,
      FRESHNESS_MILLISECONDS,
    );
    limiter.updateAssessment(assessment);
    const state = assessment.kind === 'whole' ? assessment.phase : assessment.reason;
    return { state, available: limiter.available(event.at) };
  });
}

function replayGrants({ limits, events }: z.infer<typeof GrantTrace>): unknown[] {
  const { replica } = makeReplica(['vm-1']);
  let previous: readonly Grant[] = [];
  let withdrawn: readonly WithdrawnGrant[] = [];
  let target: ReceivedReport | undefined;
  return events.map((event) => {
    if (event.kind === 'plan') {
      const input = {
        replica, limits, homes: event.homes, previous, withdrawn, target, monotonicMilliseconds: event.at,
      };
      const grants = planGrants(input);
      withdrawn = [...pruneWithdrawnGrants(input), ...listWithdrawnGrants(previous, grants, event.at)];
      previous = grants;
    } else if (event.kind === 'gone') {
      withdrawn = withdrawn.map((each) => (each.entry === event.entry
        ? { ...each, holder: { kind: 'gone', sinceMilliseconds: event.at } } : each));
    } else {
      const report = makeReport({ runningRequests: event.runningRequests, sequence: event.at });
      target = mergeReport(target, report, event.at);
    }
    return previous.map(({ entry, cold, warm }) => `${entry} ${cold} ${warm}`).sort();
  });
}

function replayAdmission({ capacity, events }: z.infer<typeof AdmissionTrace>): unknown[] {
  const queue = new AdmissionQueue({
    capacity, maximumQueued: 100, initialServiceMilliseconds: 100, weightOf: () => 1,
  });
  return events.map((event) => {
    if (event.kind === 'release') {
      return queue.release(event.id, event.at);
    }
    if (event.kind === 'expire') {
      return queue.expire(event.at).map(({ requestId, kind }) => `${requestId} ${kind}`);
    }
    const decision = queue.offer({
      requestId: event.id,
      team: event.team,
      priority: event.priority,
      deadlineMilliseconds: event.until + 60_000,
      queueUntilMilliseconds: event.until,
      expectedServiceMilliseconds: 0,
    }, event.at);
    return decision.kind === 'refused' ? `${decision.kind} ${decision.refusal.kind}` : decision.kind;
  });
}

function replayRetry({ events }: z.infer<typeof RetryTrace>): unknown[] {
  const budget = new RetryBudget();
  return events.map((event) => decideRetry({
    ...event, hasAlternative: true, remainingMilliseconds: 10_000, budget,
  }));
}

function replay(trace: Trace): unknown[] {
  switch (trace.kind) {
    case 'replica': return replayReplica(trace);
    case 'grants': return replayGrants(trace);
    case 'admission': return replayAdmission(trace);
    case 'retry': return replayRetry(trace);
    default: return trace satisfies never;
  }
}

async function readJSON(name: string): Promise<unknown> {
  return JSON.parse(await readFile(new URL(name, TRACES), 'utf8'));
}

const files = await readdir(TRACES);
const names = files
  .filter((name) => name.endsWith('.json') && !name.endsWith('.outcome.json'))
  .map((name) => name.replace('.json', ''));

test.each(names)('replay of trace %s gives the recorded outcome', async (name) => {
  const trace = Trace.parse(await readJSON(`${name}.json`));
  expect(replay(trace)).toEqual(await readJSON(`${name}.outcome.json`));
});
