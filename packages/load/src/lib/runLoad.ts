import { setTimeout as delay } from 'node:timers/promises';
import {
  type Clock, createNonce, SeededRandom, type ServingError, type TeamId,
} from '@dandelionlane/core';
import type { JournalDocument } from '@dandelionlane/standin';
import { okAsync, ResultAsync } from 'neverthrow';
import { Agent, type Dispatcher } from 'undici';
import planCalls from './arrivals/planCalls.js';
import Caller from './callers/Caller.js';
import type CallerParts from './callers/CallerParts.js';
import Recorder from './recorder/Recorder.js';
import checkAnsweredShare from './reconcile/checkAnsweredShare.js';
import reconcile from './reconcile/reconcile.js';
import fetchJournals from './reconcile/fetchJournals.js';
import type LoadReport from './reports/LoadReport.js';
import sendOnTime from './sendOnTime.js';
import type LoadSettings from './settings/LoadSettings.js';

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

interface RunParts {
  readonly settings: LoadSettings;
  readonly run: string;
  readonly startedAt: string;
  readonly recorder: Recorder;
}

function createCallers(settings: LoadSettings, parts: CallerParts): ReadonlyMap<TeamId, Caller> {
  const teams = new Set(settings.traffic.map(({ team }) => team));
  return new Map([...teams].map((team) => [team, new Caller(settings.entries, parts)]));
}

function readJournals(
  settings: LoadSettings,
  dispatcher: Dispatcher,
): ResultAsync<JournalDocument | undefined, ServingError> {
  return settings.journals.length === 0 ? okAsync(undefined) : fetchJournals(settings.journals, dispatcher);
}

async function sendAll({ settings, run, recorder }: RunParts, parts: CallerParts): Promise<void> {
  const callers = createCallers(settings, parts);
  const calls = planCalls(settings, run, new SeededRandom(settings.seed));
  await sendOnTime(calls, {
    clock: parts.clock,
    recorder,
    send: (call) => callers.get(call.team)?.send(call)
      ?? Promise.resolve({ outcome: { kind: 'unreachable', detail: 'no caller' }, tokenTimes: [] }),
  });
  await delay(settings.settleMilliseconds);
}

function toReport(
  {
    settings, run, startedAt, recorder,
  }: RunParts,
  before: JournalDocument | undefined,
  after: JournalDocument | undefined,
): LoadReport {
  const journals = before === undefined || after === undefined ? undefined : { before, after };
  const checks = [
    checkAnsweredShare(recorder.records, settings.minimumAnsweredShare),
    ...reconcile(recorder.records, journals),
  ];
  return {
    run,
    startedAt,
    seed: settings.seed,
    ratePerSecond: settings.ratePerSecond,
    durationSeconds: settings.durationSeconds,
    calls: recorder.records.length,
    maximumStartLagMilliseconds: recorder.maximumStartLagMilliseconds,
    maximumRunningWhileCold: after?.maximumRunningWhileCold ?? null,
    groups: recorder.groups(),
    timeline: recorder.timeline(),
    checks,
    passed: checks.every(({ passed }) => passed),
  };
}

/**
 * Runs the load and reports. Calls that fail are part of the report. Errors:
 * `target-lost` and `message-invalid` when a journal cannot be read, because a run
 * that cannot be reconciled proves nothing.
 */
export default function runLoad(settings: LoadSettings, clock: Clock): ResultAsync<LoadReport, ServingError> {
  const dispatcher = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS } });
  const parts = { clock, dispatcher, timeoutMilliseconds: settings.timeoutMilliseconds };
  const run: RunParts = {
    settings,
    run: `load-${createNonce()}`,
    startedAt: clock.now().toISOString(),
    recorder: new Recorder(),
  };
  const close = () => {
    void dispatcher.destroy();
  };
  return readJournals(settings, dispatcher)
    .andThen((before) => ResultAsync.fromSafePromise(sendAll(run, parts))
      .andThen(() => readJournals(settings, dispatcher))
      .map((after) => toReport(run, before, after)))
    .andTee(close)
    .orTee(close);
}
