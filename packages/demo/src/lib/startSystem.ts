import { randomBytes } from 'node:crypto';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import ProcessGroup from './ProcessGroup.js';
import programPath from './programPath.js';
import type RunningProcess from './RunningProcess.js';
import type RunningSystem from './RunningSystem.js';
import type SystemPlan from './SystemPlan.js';

const REGION = 'region-1';
const ACCELERATORS = 8;
const TOKEN_BYTES = 24;

const MODEL_TIMING = {
  weightLoadMilliseconds: 500,
  coldDurationMilliseconds: 1_000,
  coldConcurrency: 3,
  warmConcurrency: 32,
  decodeMillisecondsPerToken: 10,
};

async function writeSettings(directory: string, name: string, settings: object): Promise<string> {
  const file = join(directory, `${name}.jsonc`);
  await writeFile(file, JSON.stringify(settings, null, 2));
  return file;
}

function describeVMs(plan: SystemPlan, availabilityZones: readonly string[]): readonly object[] {
  return availabilityZones.flatMap((availabilityZone) => {
    const model = Array.from({ length: plan.modelVMsPerZone }, (_, index) => ({
      vm: `${availabilityZone}-model-${index + 1}`,
      availabilityZone,
      fabricDomain: `${availabilityZone}-fabric`,
      accelerators: ACCELERATORS,
      kind: 'model',
      checksFencing: plan.checksFencing,
      timing: { ...MODEL_TIMING, ...plan.modelTiming },
    }));
    const plain = Array.from({ length: plan.plainVMsPerZone }, (_, index) => ({
      vm: `${availabilityZone}-plain-${index + 1}`,
      availabilityZone,
      fabricDomain: `${availabilityZone}-fabric`,
      accelerators: 0,
      kind: 'plain',
      timing: { ...MODEL_TIMING, weightLoadMilliseconds: 100, coldDurationMilliseconds: 200 },
    }));
    return [...model, ...plain];
  });
}

/** One process for all VMs, or one for each zone. */
async function startVMProcesses(
  processes: ProcessGroup,
  plan: SystemPlan,
  platformAddress: string,
): Promise<readonly RunningProcess[]> {
  const groups = plan.separateZones === true
    ? plan.availabilityZones.map((zone) => [zone])
    : [plan.availabilityZones];
  const started: RunningProcess[] = [];
  for (const [index, zones] of groups.entries()) {
    const name = `vms-${index + 1}`;
    const settings = { platform: platformAddress, vms: describeVMs(plan, zones) };
    const file = await writeSettings(plan.directory, name, settings);
    started.push(await processes.start(
      name,
      programPath('standin', 'dandelionlane-standin'),
      ['vms', '--settings', file],
    ));
  }
  return started;
}

/** Starts stand-ins, entries and controllers as separate processes on loopback, on free ports. */
export default async function startSystem(plan: SystemPlan): Promise<RunningSystem> {
  const { directory } = plan;
  const processes = new ProcessGroup(directory);
  const token = randomBytes(TOKEN_BYTES).toString('base64url');
  const tokenFile = join(directory, 'token');
  await writeFile(tokenFile, token, { mode: 0o600 });
  const standIn = programPath('standin', 'dandelionlane-standin');

  const platformSettings = await writeSettings(directory, 'platform', { vmListLagMilliseconds: 500 });
  const platform = await processes.start('platform', standIn, ['platform', '--settings', platformSettings]);
  const platformAddress = String(platform.addresses.address);
  const vmProcesses = await startVMProcesses(processes, plan, platformAddress);

  const entries: RunningProcess[] = [];
  for (let index = 0; index < plan.entries; index += 1) {
    const name = `entry-${index + 1}`;
    const settings = await writeSettings(directory, name, {
      entry: name,
      region: REGION,
      availabilityZone: plan.availabilityZones[index % plan.availabilityZones.length],
      callers: { port: 0 },
      peers: { port: 0 },
      administration: { port: 0, tokenFile },
      platformAddress,
      seeds: entries.map(({ addresses }) => String(addresses.peerAddress)),
      timing: { lameDuckMilliseconds: 1_000, keepMilliseconds: 1_000 },
    });
    entries.push(await processes.start(
      name,
      programPath('entry', 'dandelionlane-entry'),
      ['--settings', settings],
    ));
  }

  const controllers: RunningProcess[] = [];
  for (let index = 0; index < plan.controllers; index += 1) {
    const name = `controller-${index + 1}`;
    const beside = entries[index % entries.length];
    const settings = await writeSettings(directory, name, {
      controller: name,
      region: REGION,
      availabilityZone: plan.availabilityZones[index % plan.availabilityZones.length],
      health: { port: 0 },
      platformAddress,
      entry: { administrationAddress: String(beside?.addresses.administrationAddress), tokenFile },
    });
    controllers.push(await processes.start(
      name,
      programPath('controller', 'dandelionlane-controller'),
      ['--settings', settings],
    ));
  }
  return {
    processes,
    platform,
    vms: vmProcesses[0] as RunningProcess,
    vmProcesses,
    entries,
    controllers,
    tokenFile,
    token,
  };
}
