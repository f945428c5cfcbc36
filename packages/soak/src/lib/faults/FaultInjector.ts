import { setTimeout as sleep } from 'node:timers/promises';
import { LeaseRecord } from '@dandelionlane/core';
import type { LinkState } from '@dandelionlane/standin';
import type SoakTopology from '../SoakTopology.js';
import createConfiguration from '../createConfiguration.js';
import type SoakEntry from '../entries/SoakEntry.js';
import type DisturbedPart from '../journal/DisturbedPart.js';
import writeConfiguration from '../store/writeConfiguration.js';
import type SoakWorker from '../workers/SoakWorker.js';
import type PlannedFault from './PlannedFault.js';
import type SoakFault from './SoakFault.js';

/** Time for which a store that is restored is away, and then without what is written again, in ms. */
const AWAY_MILLISECONDS = 400;

/** Brings faults about and takes them back. A fault at something that another one holds is left out. */
export default class FaultInjector {
  readonly #topology: SoakTopology;

  readonly #groupSize: number;

  /** What faults hold now. */
  readonly #held = new Set<string>();

  /** Entries that have held the lease when it was taken from them. */
  readonly #formerHolders = new Set<number>();

  #version = 1;

  constructor(topology: SoakTopology, groupSize: number) {
    this.#topology = topology;
    this.#groupSize = groupSize;
  }

  /** Runs faults at their times. Resolves when all are over. */
  async run(faults: readonly PlannedFault[]): Promise<void> {
    await Promise.all(faults.map(async (planned) => {
      await sleep(planned.atMilliseconds);
      await this.#hold(planned);
    }));
  }

  async #hold({ fault: planned, forMilliseconds }: PlannedFault): Promise<void> {
    const fault = await this.#resolve(planned);
    if (fault === null) {
      return;
    }
    const places = this.#placesOf(fault);
    if (places.some((place) => this.#held.has(place))) {
      return;
    }
    places.forEach((place) => this.#held.add(place));
    const over = this.#topology.journal.disturbed(performance.now(), this.#partsOf(fault));
    await this.#apply(fault, forMilliseconds);
    over(performance.now());
    places.forEach((place) => this.#held.delete(place));
  }

  /** Names the entry that a fault of the lease is at, and the workers that are free. */
  async #resolve(fault: SoakFault): Promise<SoakFault | null> {
    switch (fault.kind) {
      case 'holder-cut': {
        const entry = await this.#findHolder();
        if (entry !== null) {
          this.#formerHolders.add(entry);
        }
        return entry === null ? null : { kind: 'store-link', entry, state: 'reset' };
      }
      case 'follower-killed': {
        const holder = await this.#findHolder();
        const entry = this.#topology.entries.findIndex((each, index) => (
          each.running && index !== holder && !this.#formerHolders.has(index) && !this.#held.has(`entry ${index}`)
        ));
        return entry < 0 ? null : { kind: 'entry-killed', entry };
      }
      default:
        return this.#withoutHeldWorkers(fault);
    }
  }

  /** Index of the entry that holds the lease, as the store knows it, or null. */
  async #findHolder(): Promise<number | null> {
    const { tables, entries } = this.#topology;
    const rows = (await tables.snapshot('leases')).map((snapshot) => snapshot.rows).unwrapOr([]);
    const record = LeaseRecord.safeParse(rows[0]?.value);
    const index = entries.findIndex(({ name }) => record.success && name === String(record.data.holder));
    return index < 0 ? null : index;
  }

  /** A silence of several workers leaves out those that another fault holds. */
  #withoutHeldWorkers(fault: SoakFault): SoakFault {
    return fault.kind !== 'workers-silent' ? fault : {
      ...fault, workers: fault.workers.filter((worker) => !this.#held.has(`worker-link ${worker}`)),
    };
  }

  #placesOf(fault: SoakFault): readonly string[] {
    switch (fault.kind) {
      case 'entry-killed':
      case 'entry-paused':
      case 'entry-terminated':
        return [`entry ${fault.entry}`];
      case 'all-entries-killed':
        return this.#topology.entries.map((_, index) => `entry ${index}`);
      case 'entry-stopped':
        return [`entry ${fault.entry}`, `store-link ${fault.entry}`];
      case 'workers-silent':
        return fault.workers.map((worker) => `worker-link ${worker}`);
      case 'paths-cut':
        return fault.entries.map((entry) => `paths ${entry}`);
      case 'store-link':
      case 'caller-link':
        return [`${fault.kind} ${fault.entry}`];
      case 'worker-link':
      case 'worker-answers':
        return [`${fault.kind} ${fault.worker}`];
      case 'workers-answer':
        return fault.workers.map((worker) => `worker-answers ${worker}`);
      case 'worker-crashes':
      case 'worker-vanishes':
      case 'worker-leaves':
        return [`worker ${fault.worker}`];
      case 'holder-cut':
      case 'follower-killed':
        return [fault.kind];
      case 'store-fails':
      case 'store-forgets':
      case 'configuration-changes':
        return [fault.kind];
      case 'store-restored':
        return [fault.kind, 'store-fails'];
      default:
        return fault satisfies never;
    }
  }

  /** What a fault disturbs that may lose requests. A planned stop is none: its entry has time to end them. */
  #partsOf(fault: SoakFault): readonly DisturbedPart[] {
    switch (fault.kind) {
      case 'entry-killed':
      case 'entry-paused':
        return [{ kind: 'entry', entry: this.#entry(fault.entry).name }];
      case 'all-entries-killed':
        return this.#topology.entries.map(({ name }) => ({ kind: 'entry', entry: name }));
      case 'caller-link':
        return [{ kind: 'caller-link', entry: this.#entry(fault.entry).name }];
      case 'paths-cut':
        return fault.entries.map((entry) => ({
          kind: 'paths', entry: this.#entry(entry).name, state: fault.state,
        }));
      case 'worker-link':
        // A slow link loses nothing.
        return fault.state === 'slow'
          ? [{ kind: 'other' }] : [{ kind: 'worker-link', worker: this.#worker(fault.worker).id }];
      // Workers note themselves which runs they break off.
      case 'worker-answers':
      case 'workers-answer':
      case 'worker-crashes':
      case 'worker-vanishes':
      case 'worker-leaves':
      case 'workers-silent':
      case 'entry-terminated':
      case 'holder-cut':
      case 'follower-killed':
      case 'configuration-changes':
        return [{ kind: 'other' }];
      case 'entry-stopped':
      case 'store-link':
      case 'store-fails':
      case 'store-forgets':
      case 'store-restored':
        return [{ kind: 'store' }];
      default:
        return fault satisfies never;
    }
  }

  async #apply(fault: SoakFault, milliseconds: number): Promise<void> {
    const { entries, store, tables } = this.#topology;
    switch (fault.kind) {
      case 'entry-killed':
        await this.#entry(fault.entry).kill();
        await sleep(milliseconds);
        await this.#entry(fault.entry).start();
        return;
      case 'entry-paused':
        this.#entry(fault.entry).pause();
        await sleep(milliseconds);
        this.#entry(fault.entry).resume();
        return;
      case 'entry-terminated':
        await this.#entry(fault.entry).terminate();
        await this.#entry(fault.entry).start();
        return;
      case 'entry-stopped':
        this.#entry(fault.entry).storeLink.setState(fault.storeLink);
        await sleep(milliseconds);
        await this.#entry(fault.entry).terminate();
        this.#entry(fault.entry).storeLink.setState('open');
        await this.#entry(fault.entry).start();
        return;
      case 'all-entries-killed':
        await Promise.all(entries.map((entry) => entry.kill()));
        await Promise.all(entries.map((entry) => entry.start()));
        return;
      case 'store-fails':
        store.fault = fault.fault;
        await sleep(milliseconds);
        store.fault = 'none';
        return;
      case 'store-forgets':
        tables.forgetHistory();
        return;
      case 'store-restored':
        await this.#restoreStore(milliseconds);
        return;
      case 'store-link':
      case 'caller-link': {
        const { storeLink, callerLink } = this.#entry(fault.entry);
        const link = fault.kind === 'store-link' ? storeLink : callerLink;
        link.setState(fault.state);
        await sleep(milliseconds);
        link.setState('open');
        return;
      }
      case 'worker-link':
        this.#worker(fault.worker).link.setState(fault.state);
        await sleep(milliseconds);
        this.#worker(fault.worker).link.setState('open');
        return;
      case 'paths-cut':
        await this.#cutPaths(fault, milliseconds);
        return;
      case 'workers-silent': {
        const links = fault.workers.map((worker) => this.#worker(worker).link);
        links.forEach((link) => link.setState('silent'));
        await sleep(milliseconds);
        links.forEach((link) => link.setState('open'));
        return;
      }
      case 'worker-crashes':
        this.#worker(fault.worker).crash();
        await sleep(milliseconds);
        await this.#worker(fault.worker).restart();
        return;
      case 'worker-vanishes':
        this.#worker(fault.worker).crash(fault.address);
        await sleep(milliseconds);
        await this.#worker(fault.worker).restart();
        return;
      case 'worker-leaves':
        await this.#worker(fault.worker).leave();
        await sleep(milliseconds);
        this.#topology.journal.drainedAt.delete(this.#worker(fault.worker).id);
        await this.#worker(fault.worker).restart();
        return;
      case 'worker-answers':
        this.#worker(fault.worker).answerFault = fault.fault;
        await sleep(milliseconds);
        this.#worker(fault.worker).answerFault = 'none';
        return;
      case 'workers-answer':
        fault.workers.forEach((worker) => Object.assign(this.#worker(worker), { answerFault: fault.fault }));
        await sleep(milliseconds);
        fault.workers.forEach((worker) => Object.assign(this.#worker(worker), { answerFault: 'none' }));
        return;
      case 'holder-cut':
      case 'follower-killed':
        throw new Error(`${fault.kind} names no entry`);
      case 'configuration-changes':
        this.#version += 1;
        await writeConfiguration(tables, createConfiguration(this.#version, this.#groupSize));
        return;
      default:
        fault satisfies never;
    }
  }

  async #cutPaths(
    { entries, state }: Extract<SoakFault, { kind: 'paths-cut' }>,
    milliseconds: number,
  ): Promise<void> {
    const sources = entries.map((entry) => this.#entry(entry).sourceAddress);
    const setAll = (each: LinkState) => this.#topology.workers
      .forEach(({ link }) => sources.forEach((source) => link.setState(each, source)));
    setAll(state);
    await sleep(milliseconds);
    setAll('open');
  }

  /** The store is away for a moment and comes back from a copy; operators and workers write again. */
  async #restoreStore(ageMilliseconds: number): Promise<void> {
    const { store, tables, workers } = this.#topology;
    const restore = tables.copy();
    await sleep(ageMilliseconds);
    store.fault = 'silent';
    await sleep(AWAY_MILLISECONDS);
    restore();
    store.fault = 'none';
    await sleep(AWAY_MILLISECONDS);
    await writeConfiguration(tables, createConfiguration(this.#version, this.#groupSize));
    workers.forEach((worker) => worker.registerAgain());
  }

  #entry(index: number): SoakEntry {
    const entry = this.#topology.entries[index];
    if (entry === undefined) {
      throw new Error(`there is no entry ${index}`);
    }
    return entry;
  }

  #worker(index: number): SoakWorker {
    const worker = this.#topology.workers[index];
    if (worker === undefined) {
      throw new Error(`there is no worker ${index}`);
    }
    return worker;
  }
}
