import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { startLink, type LinkHandle } from '@dandelionlane/standin';
import type SoakJournal from '../journal/SoakJournal.js';
import type EntryPorts from './EntryPorts.js';

const PROGRAM = fileURLToPath(new URL('../../../../../platform/dist/main.js', import.meta.url));

/** Time for which a process may go on after SIGTERM, in s. */
const GRACE_SECONDS = 3;

/** What a `SoakEntry` is made of. */
interface SoakEntrySettings {
  readonly name: string;
  readonly zone: string;
  readonly ports: EntryPorts;
  readonly storeAddress: string;
  /** Where the settings file and the log go. */
  readonly directory: string;
  readonly journal: SoakJournal;
}

/** An entry process, with links between it, its callers and the store. */
export default class SoakEntry {
  readonly #settings: SoakEntrySettings;

  readonly storeLink: LinkHandle;

  readonly callerLink: LinkHandle;

  #child: ChildProcess | null = null;

  /** Whether the end of the process is wanted. */
  #ending = false;

  private constructor(settings: SoakEntrySettings, storeLink: LinkHandle, callerLink: LinkHandle) {
    this.#settings = settings;
    this.storeLink = storeLink;
    this.callerLink = callerLink;
  }

  static async create(settings: SoakEntrySettings): Promise<SoakEntry> {
    const storeLink = (await startLink({ target: settings.storeAddress }))._unsafeUnwrap();
    const callerLink = (await startLink({ target: `127.0.0.1:${settings.ports.callers}` }))._unsafeUnwrap();
    return new SoakEntry(settings, storeLink, callerLink);
  }

  get name(): string {
    return this.#settings.name;
  }

  /** `host:port` by which the directory names the entry. */
  get callerAddress(): string {
    return `127.0.0.1:${this.#settings.ports.callers}`;
  }

  get directoryAddress(): string {
    return `127.0.0.1:${this.#settings.ports.directory}`;
  }

  get running(): boolean {
    return this.#child !== null && this.#child.exitCode === null && this.#child.signalCode === null;
  }

  async start(): Promise<void> {
    const { name, directory, journal } = this.#settings;
    const path = join(directory, `${name}.conf`);
    await writeFile(path, this.#lines().join('\n'));
    this.#ending = false;
    const child = spawn(process.execPath, [PROGRAM], {
      env: { ...process.env, DANDELIONLANE_SETTINGS: path }, stdio: ['ignore', 'pipe', 'pipe'],
    });
    const output = createWriteStream(join(directory, `${name}.log`), { flags: 'a' });
    child.stdout.pipe(output, { end: false });
    child.stderr.pipe(output, { end: false });
    const killWithParent = () => child.kill('SIGKILL');
    process.once('exit', killWithParent);
    child.once('exit', (code, signal) => {
      process.off('exit', killWithParent);
      if (!this.#ending) {
        journal.violated('exit', `${name} ended by itself, code ${String(code)}, signal ${String(signal)}`);
      }
    });
    this.#child = child;
  }

  /** Stops the process for a while without ending it. */
  pause(): void {
    this.#child?.kill('SIGSTOP');
  }

  resume(): void {
    this.#child?.kill('SIGCONT');
  }

  async kill(): Promise<void> {
    await this.#end('SIGKILL');
  }

  /** Asks the process to end, and kills it where it has not within the grace period. */
  async terminate(): Promise<void> {
    const timer = setTimeout(() => this.#child?.kill('SIGKILL'), (GRACE_SECONDS + 1) * 1_000);
    await this.#end('SIGTERM');
    clearTimeout(timer);
  }

  async close(): Promise<void> {
    await this.kill();
    await this.storeLink.close();
    await this.callerLink.close();
  }

  async #end(signal: NodeJS.Signals): Promise<void> {
    const child = this.#child;
    this.#ending = true;
    if (child !== null && this.running) {
      const ended = once(child, 'exit');
      child.kill('SIGCONT');
      child.kill(signal);
      await ended;
    }
  }

  #lines(): readonly string[] {
    const { name, zone, ports } = this.#settings;
    return [
      `node_name=${name}`,
      `zone=${zone}`,
      'region=region-1',
      'ip=127.0.0.1',
      `listen_addrs.frontend=127.0.0.1:${ports.callers}`,
      `listen_addrs.readiness=127.0.0.1:${ports.readiness}`,
      `listen_addrs.directory=127.0.0.1:${ports.directory}`,
      `internal_ports=${ports.internal},${ports.internal + 1}`,
      'bootstrap=true',
      `parameters.grace_s=${GRACE_SECONDS}`,
      'parameters.retry_budget_ratio=0.2',
      'parameters.budget_extra=50',
      'parameters.budget_window_s=10',
      `platform.address=${this.storeLink.address}`,
    ];
  }
}
