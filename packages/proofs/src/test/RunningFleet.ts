import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import { ReleaseNote, StatusDocument } from '@dandelionlane/core';
import { startSystem, type RunningProcess, type RunningSystem } from '@dandelionlane/demo';
import { JournalDocument, type VMFault } from '@dandelionlane/standin';
import type Answer from './Answer.js';
import callEntry from './callEntry.js';
import chatCall from './chatCall.js';
import services from './services.js';
import waitUntil from './waitUntil.js';

const START_MILLISECONDS = 40_000;
const CALLS_AT_ONCE = 6;

/** Entries, controllers and stand-ins as separate processes, with two services placed by the controller. */
export default class RunningFleet {
  readonly system: RunningSystem;

  readonly #directory: string;

  private constructor(system: RunningSystem, directory: string) {
    this.system = system;
    this.#directory = directory;
  }

  static async start(checksFencing: boolean): Promise<RunningFleet> {
    const directory = await mkdtemp(join(tmpdir(), 'dandelionlane-fleet-'));
    const system = await startSystem({
      directory,
      availabilityZones: ['zone-a', 'zone-b', 'zone-c'],
      modelVMsPerZone: 3,
      plainVMsPerZone: 1,
      entries: 3,
      controllers: 2,
      checksFencing,
    });
    const fleet = new RunningFleet(system, directory);
    try {
      await waitUntil('the release is accepted', () => fleet.#publish(checksFencing));
      await waitUntil('all replicas serve', () => fleet.isServing(), START_MILLISECONDS);
    } catch (cause) {
      await fleet.stop();
      throw cause;
    }
    return fleet;
  }

  call(index: number, call: Parameters<typeof callEntry>[1]): Promise<Answer> {
    return callEntry(String(this.system.entries[index]?.addresses.callerAddress), call);
  }

  administer(index: number, path: string, body?: object): Promise<Answer> {
    return callEntry(String(this.system.entries[index]?.addresses.administrationAddress), {
      path, headers: { authorization: `Bearer ${this.system.token}` }, ...(body === undefined ? {} : { body }),
    });
  }

  async status(index = 0): Promise<StatusDocument> {
    return StatusDocument.parse(JSON.parse((await this.administer(index, '/admin/v1/status')).text));
  }

  /** Whether all replicas serve and every entry answers for both services. */
  async isServing(): Promise<boolean> {
    const { services: found } = await this.status();
    const missing = found.some(({ replicasServing, replicasWanted }) => replicasServing < replicasWanted);
    if (found.length < 2 || missing) {
      return false;
    }
    const answers = await Promise.all(this.system.entries.flatMap((_, index) => [
      this.call(index, { path: '/v1/services/slots/echo' }),
      this.call(index, chatCall('ready', 1)),
    ]));
    return answers.every(({ status }) => status === 200);
  }

  /** Whether several calls at once are answered at each of these entries, so that limits have grown. */
  async bearsLoad(indexes: readonly number[]): Promise<boolean> {
    const calls = indexes.flatMap((index) => Array.from({ length: CALLS_AT_ONCE }, () => index));
    const answers = await Promise.all(calls.map((index) => this.call(index, chatCall('load', 20))));
    return answers.every(({ status }) => status === 200);
  }

  async journal(): Promise<JournalDocument> {
    const answer = await request(`http://${String(this.system.vms.addresses.controlAddress)}/journal`);
    return JournalDocument.parse(await answer.body.json());
  }

  async runsOf(path: string): Promise<JournalDocument['runs']> {
    return (await this.journal()).runs.filter((run) => run.path.startsWith(path));
  }

  async fault(vm: string, fault: VMFault): Promise<void> {
    const answer = await request(`http://${String(this.system.vms.addresses.controlAddress)}/vms/${vm}/faults`, {
      method: 'POST', body: JSON.stringify(fault), headers: { 'content-type': 'application/json' },
    });
    await answer.body.dump();
  }

  /** The controllers that say that they hold the lease. */
  async holders(): Promise<readonly RunningProcess[]> {
    const held = await Promise.all(this.system.controllers.map(async (controller) => {
      const answer = await request(`http://${String(controller.addresses.healthAddress)}/healthz`, {
        signal: AbortSignal.timeout(1_000),
      }).catch(() => null);
      const document = await answer?.body.json() as { holdsLease?: boolean } | undefined;
      return document?.holdsLease === true;
    }));
    return this.system.controllers.filter((_, index) => held[index]);
  }

  /** Ends every process, also those that a test has stopped. */
  async stop(): Promise<void> {
    const { entries, controllers } = this.system;
    [...entries, ...controllers].forEach(({ child }) => child.kill('SIGCONT'));
    await this.system.processes.stop();
    await rm(this.#directory, { recursive: true, force: true });
  }

  async #publish(targetsCheckFencing: boolean): Promise<boolean> {
    const limits = { requestTimeoutMilliseconds: 20_000, queueTimeoutMilliseconds: 5_000 };
    const note = ReleaseNote.parse({
      writtenAgainst: 0,
      add: [
        { ...services.letters(limits), replicas: 2, targetsCheckFencing },
        { ...services.slots(limits), replicas: 2 },
      ],
    });
    const answer = await this.administer(0, '/admin/v1/changes', { change: { kind: 'note', note } });
    return answer.status === 201;
  }
}
