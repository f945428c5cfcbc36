import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Agent, request } from 'undici';
import {
  createNonce, EMPTY_RELEASE_STATE, EngineOrder, ReleaseChange, ServicePlacement, SystemClock, TABLE_NAMES,
  VMId,
} from '@dandelionlane/core';
import { EntrySettings, startEntry, type RunningEntry } from '@dandelionlane/entry';
import { HTTPTableStore, readVMReport, sendEngineOrder } from '@dandelionlane/platform';
import { publishChange } from '@dandelionlane/release';
import {
  startLink, startPlatform, startVMs,
  type JournalRun, type LinkHandle, type PlatformFault, type PlatformHandle, type VMFault, type VMsHandle,
} from '@dandelionlane/standin';
import type Answer from './Answer.js';
import callEntry from './callEntry.js';
import type PlacedService from './PlacedService.js';
import type SystemOptions from './SystemOptions.js';
import waitUntil from './waitUntil.js';

const REGION = 'region-1';
const FENCING = 1;
const TOKEN = 'a-token-for-tests';
const DEFAULT_TIMING = {
  probePeriodMilliseconds: 100,
  pollPeriodMilliseconds: 100,
  reportPeriodMilliseconds: 100,
  freshnessMilliseconds: 800,
  keepMilliseconds: 1_000,
  lameDuckMilliseconds: 200,
};

/** An entry of a test, with its link to the platform where it has one. */
interface TestEntry {
  readonly running: RunningEntry;
  readonly link: LinkHandle | undefined;
}

/**
 * Platform, VMs and entries in this process. Placement rows and load orders are the
 * test's own, so that no controller changes them.
 */
export default class TestSystem {
  readonly platform: PlatformHandle;

  readonly vms: VMsHandle;

  readonly entries: TestEntry[] = [];

  readonly store: HTTPTableStore;

  readonly agent = new Agent();

  readonly #options: SystemOptions;

  readonly #directory: string;

  #count = 0;

  private constructor(options: SystemOptions, directory: string, platform: PlatformHandle, vms: VMsHandle) {
    this.#options = options;
    this.#directory = directory;
    this.platform = platform;
    this.vms = vms;
    this.store = new HTTPTableStore(platform.address, this.agent);
  }

  static async start(options: SystemOptions): Promise<TestSystem> {
    const directory = await mkdtemp(join(tmpdir(), 'dandelionlane-proofs-'));
    await writeFile(join(directory, 'token'), TOKEN);
    const platform = (await startPlatform({}))._unsafeUnwrap();
    const vms = (await startVMs({
      platform: platform.address, reportLagMilliseconds: 20, vms: [...options.vms],
    }))._unsafeUnwrap();
    const system = new TestSystem(options, directory, platform, vms);
    await system.#prepare();
    for (const zone of options.zones) {
      await system.startEntry(zone);
    }
    if (options.ready !== false) {
      await system.waitUntilServing();
    }
    return system;
  }

  /** Starts one more entry, which joins by the others. */
  async startEntry(zone: string, platformAddress = this.platform.address): Promise<TestEntry> {
    this.#count += 1;
    const link = this.#options.linked === true
      ? (await startLink({ target: platformAddress }))._unsafeUnwrap()
      : undefined;
    const running = await startEntry(EntrySettings.parse({
      entry: `entry-${this.#count}`,
      region: REGION,
      availabilityZone: zone,
      callers: { port: 0 },
      peers: { port: 0 },
      administration: { port: 0, tokenFile: join(this.#directory, 'token') },
      platformAddress: link?.address ?? platformAddress,
      seeds: this.entries.map((entry) => entry.running.peerAddress),
      log: { level: 'silent' },
      limits: { ...this.#options.limits },
      timing: { ...DEFAULT_TIMING, ...this.#options.timing },
    }));
    const entry = { running, link };
    this.entries.push(entry);
    return entry;
  }

  /** Caller address of an entry, by its place. */
  address(index = 0): string {
    return this.entries[index]?.running.callerAddress ?? '';
  }

  call(index: number, call: Parameters<typeof callEntry>[1]): Promise<Answer> {
    return callEntry(this.address(index), call);
  }

  async administer(index: number, path: string, body?: object): Promise<Answer> {
    return callEntry(this.entries[index]?.running.administrationAddress ?? '', {
      path, headers: { authorization: `Bearer ${TOKEN}` }, ...(body === undefined ? {} : { body }),
    });
  }

  /** Runs at all VMs, in the order in which they began. */
  runs(): readonly JournalRun[] {
    return [...this.vms.journal().runs]
      .sort((left, right) => left.startedAt.localeCompare(right.startedAt));
  }

  /** Runs of calls with a path that begins so. */
  runsOf(path: string): readonly JournalRun[] {
    return this.runs().filter((run) => run.path.startsWith(path));
  }

  async platformFault(fault: PlatformFault): Promise<void> {
    const answer = await request(`http://${this.platform.address}/faults`, {
      method: 'POST', body: JSON.stringify(fault), headers: { 'content-type': 'application/json' },
    });
    await answer.body.dump();
  }

  async fault(vm: string, fault: VMFault): Promise<void> {
    if (!(await this.vms.applyFault(VMId.parse(vm), fault))) {
      throw new Error(`no VM ${vm}`);
    }
  }

  addressOfVM(vm: string): string {
    return this.vms.vms.find((each) => each.vm === vm)?.address ?? '';
  }

  /** Orders every replica's VMs to load it. */
  async load(services = this.#options.services): Promise<void> {
    for (const { definition, replicas } of services) {
      for (const { replica, vms } of replicas) {
        const order = EngineOrder.parse({
          kind: 'load',
          fencing: FENCING,
          replica,
          service: definition.service,
          model: definition.kind === 'model' ? definition.model : null,
          adapter: null,
          version: definition.version,
          members: vms.map((vm) => ({ vm, address: this.addressOfVM(vm) })),
        });
        await Promise.all(vms.map((vm) => sendEngineOrder(this.agent, this.addressOfVM(vm), order)));
      }
    }
  }

  async phaseOf(vm: string): Promise<string> {
    const report = await readVMReport(this.agent, VMId.parse(vm), this.addressOfVM(vm));
    return report.isOk() ? report.value.phase : 'unseen';
  }

  /** Waits until every VM is warm and every entry serves every service. */
  async waitUntilServing(): Promise<void> {
    const vms = this.#options.services.flatMap(({ replicas }) => replicas.flatMap((replica) => replica.vms));
    for (const vm of vms) {
      await waitUntil(`${vm} is warm`, async () => (await this.phaseOf(vm)) === 'warm');
    }
    for (const { running } of this.entries) {
      await waitUntil(`${running.callerAddress} serves`, () => this.#isServing(running.callerAddress));
    }
  }

  async close(): Promise<void> {
    await Promise.all(this.entries.map(({ running }) => running.stop()));
    await Promise.all(this.entries.map(({ link }) => link?.close()));
    await this.vms.close();
    await this.platform.close();
    await this.agent.destroy();
    await rm(this.#directory, { recursive: true, force: true });
  }

  /** Replaces the placement row of a service. */
  async place({ definition, replicas }: PlacedService): Promise<void> {
    const placement = ServicePlacement.parse({
      service: definition.service,
      replicas: replicas.map(({
        replica, vms, cold = 1, warm = 16,
      }) => ({
        replica,
        service: definition.service,
        version: definition.version,
        state: 'serving',
        fencing: FENCING,
        members: vms.map((vm) => {
          const settings = this.#options.vms.find((each) => each.vm === vm);
          return {
            vm,
            address: this.addressOfVM(vm),
            availabilityZone: settings?.availabilityZone,
            fabricDomain: settings?.fabricDomain,
          };
        }),
        grants: Array.from({ length: 6 }, (_, index) => ({
          entry: `entry-${index + 1}`, cold: typeof cold === 'number' ? cold : cold[index] ?? 0, warm,
        })),
      })),
    });
    const outcome = await this.store.commit({
      conditions: [],
      writes: [{ table: TABLE_NAMES.placements, key: `${REGION}/${definition.service}`, value: placement }],
    });
    outcome._unsafeUnwrap();
  }

  /**
   * Replaces the replicas of a service and loads the new ones, as a controller does after VMs
   * were restarted. The new replicas need ids of their own: an entry that has seen a replica whole
   * never counts it as whole again with other process starts.
   */
  async rebuild(service: PlacedService): Promise<void> {
    await this.place(service);
    await this.load([service]);
  }

  async #prepare(): Promise<void> {
    const change = ReleaseChange.parse({
      kind: 'note',
      note: { writtenAgainst: 0, add: this.#options.services.map(({ definition }) => definition) },
    });
    (await publishChange(
      { store: this.store, clock: new SystemClock(), createNonce },
      EMPTY_RELEASE_STATE,
      change,
    ))._unsafeUnwrap();
    for (const service of this.#options.services) {
      await this.place(service);
    }
    if (this.#options.ready !== false) {
      await this.load();
    }
  }

  async #isServing(address: string): Promise<boolean> {
    const answers = await Promise.all(this.#options.services.map(({ definition }) => (
      definition.kind === 'plain'
        ? callEntry(address, { path: `/v1/services/${definition.service}/echo` })
        : callEntry(address, {
          path: '/v1/chat/completions',
          body: { model: definition.service, messages: [{ role: 'user', content: 'ready' }], max_tokens: 1 },
        })
    )));
    return answers.every(({ status }) => status === 200);
  }
}
