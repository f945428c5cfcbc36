import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { request } from 'undici';
import { SystemClock } from '@dandelionlane/core';
import { runCommand, startSystem, type RunningSystem } from '@dandelionlane/demo';
import { LoadSettings, runLoad } from '@dandelionlane/load';
import { JournalDocument } from '@dandelionlane/standin';
import waitUntilServing from './waitUntilServing.js';
import type ZoneMovePlan from './ZoneMovePlan.js';
import type ZoneMoveResult from './ZoneMoveResult.js';

const MILLISECONDS_PER_SECOND = 1_000;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const MOVED_ZONE = 'zone-b';
const MODEL_SERVICES = 7;
const NOTICE_MILLISECONDS = 3_000;
const SERVING_TIMEOUT_MILLISECONDS = 90_000;
const SETTLE_MILLISECONDS = 3_000;
const MAXIMUM_TOKENS = 48;

function createNote(): object {
  const models = Array.from({ length: MODEL_SERVICES }, (_, index) => ({
    kind: 'model',
    service: `assistant-${index + 1}`,
    team: `team-${index + 1}`,
    replicas: 2,
    vmsPerReplica: 4,
    acceleratorsPerVM: 8,
    model: `letters-${index + 1}`,
    version: '1',
    targetsCheckFencing: true,
    limits: { coldConcurrency: 2, warmConcurrency: 12, queueTimeoutMilliseconds: 2_000 },
  }));
  return {
    summary: 'Zone move',
    add: [
      ...models,
      {
        kind: 'plain',
        service: 'slots',
        team: 'team-1',
        replicas: 3,
        version: '1',
        nonRepeatableCalls: [{ method: 'POST', pathPrefix: '/slots' }],
      },
    ],
  };
}

function controlAddresses(system: RunningSystem): readonly string[] {
  return system.vmProcesses.map(({ addresses }) => String(addresses.controlAddress));
}

async function readJournal(address: string): Promise<JournalDocument> {
  const answer = await request(`http://${address}/journal`);
  return JournalDocument.parse(await answer.body.json());
}

function createLoadSettings(system: RunningSystem, plan: ZoneMovePlan): LoadSettings {
  const chats = Array.from({ length: MODEL_SERVICES }, (_, index) => ({
    team: `team-${index + 1}`,
    weight: 2,
    calls: { kind: 'chat', service: `assistant-${index + 1}`, maximumTokens: MAXIMUM_TOKENS },
  }));
  return LoadSettings.parse({
    entries: system.entries.map(({ addresses }) => String(addresses.callerAddress)),
    ratePerSecond: plan.callsPerSecond,
    durationSeconds: plan.endAtSeconds,
    seed: plan.seed,
    journals: controlAddresses(system),
    traffic: [
      ...chats,
      { team: 'team-1', weight: 1, calls: { kind: 'keyed', service: 'slots' } },
      { team: 'team-2', weight: 1, calls: { kind: 'plain', service: 'slots' } },
    ],
  });
}

/** Takes the zone out and brings it back at the planned times; resolves to when each was accepted. */
async function moveZone(system: RunningSystem, plan: ZoneMovePlan) {
  await delay(plan.takeOutAtSeconds * MILLISECONDS_PER_SECOND);
  const out = await runCommand(system, ['take-out', 'zone', MOVED_ZONE]);
  const outAt = new Date();
  await delay((plan.bringBackAtSeconds - plan.takeOutAtSeconds) * MILLISECONDS_PER_SECOND);
  const backAt = new Date();
  const back = await runCommand(system, ['bring-back', 'zone', MOVED_ZONE]);
  return { outAt, backAt, commandCodes: [out.code, back.code] };
}

/** Runs a load of streams, plain calls and bookings while a zone leaves and returns. */
export default async function measureZoneMove(
  directory: string,
  plan: ZoneMovePlan,
): Promise<ZoneMoveResult> {
  const system = await startSystem({
    directory,
    availabilityZones: ZONES,
    modelVMsPerZone: 22,
    plainVMsPerZone: 2,
    entries: plan.entries,
    controllers: 3,
    checksFencing: true,
    separateZones: true,
    modelTiming: {
      weightLoadMilliseconds: 4_000,
      coldDurationMilliseconds: 6_000,
      coldConcurrency: 2,
      warmConcurrency: 12,
      decodeMillisecondsPerToken: 20,
    },
  });
  try {
    const note = join(directory, 'note.jsonc');
    await writeFile(note, JSON.stringify(createNote()));
    const published = await runCommand(system, ['publish', note, '--wait']);
    if (published.code !== 0) {
      throw new Error(`note was not published: ${published.output}`);
    }
    await waitUntilServing(system, SERVING_TIMEOUT_MILLISECONDS);
    await delay(SETTLE_MILLISECONDS);
    const [loaded, moved] = await Promise.all([
      runLoad(createLoadSettings(system, plan), new SystemClock()),
      moveZone(system, plan),
    ]);
    if (loaded.isErr()) {
      throw new Error(`load was not reconciled: ${loaded.error.message}`);
    }
    const journals = await Promise.all(controlAddresses(system).map(readJournal));
    const zoneJournal = journals[ZONES.indexOf(MOVED_ZONE)];
    const noticedAt = moved.outAt.getTime() + NOTICE_MILLISECONDS;
    const late = zoneJournal?.runs.filter(({ startedAt }) => {
      const at = new Date(startedAt).getTime();
      return at > noticedAt && at < moved.backAt.getTime();
    });
    return {
      report: loaded.value,
      lateRunsInZone: late?.length ?? 0,
      fellOver: journals.reduce((sum, { fellOver }) => sum + fellOver, 0),
      commandCodes: moved.commandCodes,
    };
  } finally {
    await system.processes.stop();
  }
}
