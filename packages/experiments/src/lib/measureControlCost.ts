import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { request } from 'undici';
import { z } from 'zod';
import {
  runCommand, startSystem, type RunningProcess, type RunningSystem,
} from '@dandelionlane/demo';
import type ControlCostPlan from './ControlCostPlan.js';
import type ControlCostResult from './ControlCostResult.js';
import type ProcessCost from './ProcessCost.js';
import readProcessUsage from './readProcessUsage.js';
import readStatus from './readStatus.js';
import waitUntilServing from './waitUntilServing.js';

const MILLISECONDS_PER_SECOND = 1_000;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const VMS_PER_REPLICA = 4;
const REPLICAS_PER_SERVICE = 3;
const SERVING_TIMEOUT_MILLISECONDS = 240_000;
const SETTLE_MILLISECONDS = 5_000;

const Counters = z.looseObject({ reads: z.number(), writes: z.number(), scans: z.number() });

function createNote(services: number): object {
  return {
    add: Array.from({ length: services }, (_, index) => ({
      kind: 'model',
      service: `assistant-${index + 1}`,
      team: `team-${(index % 10) + 1}`,
      replicas: REPLICAS_PER_SERVICE,
      vmsPerReplica: VMS_PER_REPLICA,
      acceleratorsPerVM: 8,
      model: 'letters',
      version: '1',
      targetsCheckFencing: true,
    })),
  };
}

async function readCounters(system: RunningSystem): Promise<z.infer<typeof Counters>> {
  const answer = await request(`http://${String(system.platform.addresses.address)}/counters`);
  return Counters.parse(await answer.body.json());
}

async function measureProcesses(
  processes: readonly RunningProcess[],
  seconds: number,
): Promise<readonly ProcessCost[]> {
  const usage = () => Promise.all(processes.map(({ child }) => readProcessUsage(child.pid ?? 0)));
  const before = await usage();
  await delay(seconds * MILLISECONDS_PER_SECOND);
  const after = await usage();
  return processes.map(({ name }, index) => ({
    name,
    cores: ((after[index]?.processorSeconds ?? 0) - (before[index]?.processorSeconds ?? 0)) / seconds,
    residentMebibytes: after[index]?.residentMebibytes ?? 0,
  }));
}

/** Measures every process of a settled system that serves nothing. */
export default async function measureControlCost(
  directory: string,
  plan: ControlCostPlan,
): Promise<ControlCostResult> {
  const system = await startSystem({
    directory,
    availabilityZones: ZONES,
    modelVMsPerZone: plan.modelVMsPerZone,
    plainVMsPerZone: 0,
    entries: plan.entries,
    controllers: 2,
    checksFencing: true,
    separateZones: true,
  });
  try {
    const vms = plan.modelVMsPerZone * ZONES.length;
    const services = Math.max(1, Math.floor(vms / VMS_PER_REPLICA / REPLICAS_PER_SERVICE));
    const note = join(directory, 'note.jsonc');
    await writeFile(note, JSON.stringify(createNote(services)));
    const startedAt = performance.now();
    const published = await runCommand(system, ['publish', note, '--wait']);
    if (published.code !== 0) {
      throw new Error(`note was not published: ${published.output}`);
    }
    await waitUntilServing(system, SERVING_TIMEOUT_MILLISECONDS);
    const secondsUntilServing = (performance.now() - startedAt) / MILLISECONDS_PER_SECOND;
    await delay(SETTLE_MILLISECONDS);
    const countersBefore = await readCounters(system);
    const costs = await measureProcesses([...system.entries, ...system.controllers], plan.seconds);
    const countersAfter = await readCounters(system);
    const status = await readStatus(system);
    return {
      plan,
      vms,
      replicas: status.services.reduce((sum, { replicasServing }) => sum + replicasServing, 0),
      entries: costs.slice(0, system.entries.length),
      controllers: costs.slice(system.entries.length),
      storeReadsPerSecond: (countersAfter.reads + countersAfter.scans
        - countersBefore.reads - countersBefore.scans) / plan.seconds,
      storeWritesPerSecond: (countersAfter.writes - countersBefore.writes) / plan.seconds,
      secondsUntilServing,
    };
  } finally {
    await system.processes.stop();
  }
}
