import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { startLink } from '@dandelionlane/standin';
import EntryProcess from './EntryProcess.js';
import StandInWorker from './StandInWorker.js';
import createConfiguration from './createConfiguration.js';
import sendRequest from './sendRequest.js';
import soakStore from './soakStore.js';

const { SoakTables, StoreServer, writeConfiguration } = soakStore;

const SERVED_TIMEOUT_MILLISECONDS = 25_000;
const POLL_MILLISECONDS = 200;

/** A small deployment on loopback addresses: a store, workers, and processes of the system. */
export default class Deployment {
  tables = new SoakTables();

  store = new StoreServer(this.tables);

  entries = [];

  workers = [];

  /** Links between the entries and the store, in the order of the entries. */
  storeLinks = [];

  #directory = '';

  /** Starts everything and waits until the entries are ready. */
  static async start({ entryCount, workers, configuration = createConfiguration(1) }) {
    const deployment = new Deployment();
    try {
      await deployment.#start({ entryCount, workers, configuration });
    } catch (error) {
      await deployment.close();
      throw error;
    }
    return deployment;
  }

  /** Waits until each entry serves a request of a kind. */
  async waitUntilServed(kind) {
    const until = performance.now() + SERVED_TIMEOUT_MILLISECONDS;
    const waiting = new Set(this.entries);
    for (let attempt = 0; waiting.size > 0; attempt += 1) {
      if (performance.now() > until) {
        throw new Error(`${kind} is not served in time`);
      }
      await sleep(POLL_MILLISECONDS);
      const answers = await Promise.all([...waiting].map(async (entry) => ({
        entry, ...await sendRequest({ address: entry.address, kind, id: `warm-${kind}-${entry.name}-${attempt}` }),
      })));
      answers.filter(({ status, complete }) => status === 200 && complete)
        .forEach(({ entry }) => waiting.delete(entry));
    }
  }

  /** Name of the entry that holds the lease as the store knows it, or null. */
  async findHolder() {
    const { rows } = (await this.tables.snapshot('leases'))._unsafeUnwrap();
    const record = rows[0]?.value;
    return record === undefined || record === null || record.released ? null : record.holder;
  }

  async close() {
    await Promise.all(this.entries.map((entry) => entry.end()));
    await Promise.all(this.storeLinks.map((link) => link.close()));
    this.workers.forEach((worker) => worker.close());
    this.store.close();
  }

  async #start({ entryCount, workers, configuration }) {
    this.#directory = await mkdtemp(join(tmpdir(), 'review-'));
    const storeAddress = await this.store.listen();
    await writeConfiguration(this.tables, configuration);
    this.workers = workers.map((options) => new StandInWorker({ zone: 'zone-a', tables: this.tables, ...options }));
    await Promise.all(this.workers.map((worker) => worker.start()));
    for (let index = 0; index < entryCount; index += 1) {
      const link = (await startLink({ target: storeAddress }))._unsafeUnwrap();
      this.storeLinks.push(link);
      // One after the other, so that no port is found twice.
      this.entries.push(await EntryProcess.create({
        name: `entry-${index}`, zone: 'zone-a', storeAddress: link.address, directory: this.#directory,
      }));
    }
    await Promise.all(this.entries.map((entry) => entry.start()));
    await Promise.all(this.entries.map((entry) => entry.waitUntilReady()));
  }
}
