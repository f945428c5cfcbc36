import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { AvailabilityZoneId, EntryId, RegionId } from '@dandelionlane/core';
import { SETTINGS_VARIABLE, renderSettings, type PlatformSettings } from '@dandelionlane/platform-adapter';
import { startLink, type LinkHandle } from '@dandelionlane/standin';
import SOAK_NAMES from '../SOAK_NAMES.js';
import type EntryStop from '../journal/EntryStop.js';
import type GoneEntry from '../journal/GoneEntry.js';
import type SoakJournal from '../journal/SoakJournal.js';
import type EntryLimits from './EntryLimits.js';
import type EntryPorts from './EntryPorts.js';
import findProgram from './findProgram.js';
import readPeakMegabytes from './readPeakMegabytes.js';
import SOURCE_ADDRESS_HOOK from './SOURCE_ADDRESS_HOOK.js';

const HOST = '127.0.0.1';

/** Time beyond the grace period after which a process is killed, in ms. */
const KILL_MARGIN_MILLISECONDS = 1_000;

/** What a `SoakEntry` is made of. */
interface SoakEntrySettings {
  readonly name: string;
  readonly zone: string;
  /** Address that its connections to others come from. */
  readonly sourceAddress: string;
  readonly ports: EntryPorts;
  readonly storeAddress: string;
  /** Time for which the process may go on after SIGTERM, in ms. */
  readonly graceMilliseconds: number;
  /** Root of the built checkout that it runs from; null for this one. */
  readonly build: string | null;
  /** Where the settings file and the log go. */
  readonly directory: string;
  readonly journal: SoakJournal;
  /** Limits of its machine; none by default. */
  readonly limits?: EntryLimits;
}

/** An entry process, with links between it, its callers and the store. */
export default class SoakEntry {
  readonly #settings: SoakEntrySettings;

  readonly storeLink: LinkHandle;

  readonly callerLink: LinkHandle;

  #child: ChildProcess | null = null;

  /** Signal that the process was last sent to end it; null while its end is not wanted. */
  #ending: NodeJS.Signals | null = null;

  /** Its last end; null if it has not ended. */
  #gone: GoneEntry | null = null;

  private constructor(settings: SoakEntrySettings, storeLink: LinkHandle, callerLink: LinkHandle) {
    this.#settings = settings;
    this.storeLink = storeLink;
    this.callerLink = callerLink;
  }

  static async create(settings: SoakEntrySettings): Promise<SoakEntry> {
    const storeLink = (await startLink({ target: settings.storeAddress }))._unsafeUnwrap();
    const callerLink = (await startLink({ target: `${HOST}:${settings.ports.callers}` }))._unsafeUnwrap();
    return new SoakEntry(settings, storeLink, callerLink);
  }

  get name(): string {
    return this.#settings.name;
  }

  get sourceAddress(): string {
    return this.#settings.sourceAddress;
  }

  /** `host:port` by which the directory names the entry. */
  get callerAddress(): string {
    return `${HOST}:${this.#settings.ports.callers}`;
  }

  get directoryAddress(): string {
    return `${HOST}:${this.#settings.ports.directory}`;
  }

  /** All addresses that the process listens on. */
  get addresses(): readonly string[] {
    const {
      callers, directory, readiness, internal,
    } = this.#settings.ports;
    return [callers, directory, readiness, internal, internal + 1].map((port) => `${HOST}:${port}`);
  }

  /** Process id; undefined before the start. */
  get pid(): number | undefined {
    return this.#child?.pid;
  }

  get running(): boolean {
    return this.#child !== null && this.#child.exitCode === null && this.#child.signalCode === null;
  }

  async start(): Promise<void> {
    const {
      name, directory, journal, build, limits,
    } = this.#settings;
    const path = join(directory, `${name}.conf`);
    await writeFile(path, renderSettings(this.#platformSettings()));
    this.#ending = null;
    if (this.#gone !== null) {
      this.#gone.to = performance.now();
    }
    const flags = limits === undefined ? [] : [`--max-old-space-size=${limits.heapMegabytes}`];
    const child = spawn(process.execPath, [...flags, '--import', SOURCE_ADDRESS_HOOK, findProgram(build)], {
      env: { ...process.env, [SETTINGS_VARIABLE]: path, SOAK_SOURCE_ADDRESS: this.sourceAddress }, stdio: ['ignore', 'pipe', 'pipe'],
    });
    const output = createWriteStream(join(directory, `${name}.log`), { flags: 'a' });
    child.stdout.pipe(output, { end: false });
    child.stderr.pipe(output, { end: false });
    const killWithParent = () => child.kill('SIGKILL');
    process.once('exit', killWithParent);
    child.once('exit', (code, signal) => {
      process.off('exit', killWithParent);
      const isFailedStop = this.#ending === 'SIGTERM' && code !== null && code !== 0;
      if (this.#ending === null || isFailedStop) {
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
    const { journal, graceMilliseconds } = this.#settings;
    const stop: EntryStop = {
      entry: this.name,
      at: performance.now(),
      graceMilliseconds,
      goneAt: Number.POSITIVE_INFINITY,
    };
    journal.stops.push(stop);
    const timer = setTimeout(() => this.#child?.kill('SIGKILL'), graceMilliseconds + KILL_MARGIN_MILLISECONDS);
    await this.#end('SIGTERM');
    stop.goneAt = performance.now();
    clearTimeout(timer);
  }

  async close(): Promise<void> {
    await this.kill();
    await this.storeLink.close();
    await this.callerLink.close();
  }

  async #end(signal: NodeJS.Signals): Promise<void> {
    const child = this.#child;
    this.#ending = signal;
    if (child !== null && this.running) {
      await this.#notePeak(child.pid);
      const ended = once(child, 'exit');
      child.kill('SIGCONT');
      child.kill(signal);
      await ended;
      this.#gone = { address: this.callerAddress, from: performance.now(), to: Number.POSITIVE_INFINITY };
      this.#settings.journal.goneEntries.push(this.#gone);
    }
  }

  async #notePeak(pid: number | undefined): Promise<void> {
    const { journal: { peakMegabytes } } = this.#settings;
    const peak = pid === undefined ? null : await readPeakMegabytes(pid);
    if (peak !== null) {
      peakMegabytes.set(this.name, Math.max(peak, peakMegabytes.get(this.name) ?? 0));
    }
  }

  #platformSettings(): PlatformSettings {
    const {
      name, zone, ports, graceMilliseconds, limits,
    } = this.#settings;
    const at = (port: number) => ({ host: HOST, port });
    return {
      storeOrigin: `http://${this.storeLink.address}`,
      entry: {
        entry: EntryId.parse(name),
        zone: AvailabilityZoneId.parse(zone),
        region: RegionId.parse(SOAK_NAMES.region),
        callers: at(ports.callers),
        directory: at(ports.directory),
        readiness: at(ports.readiness),
        metrics: at(ports.internal),
        links: at(ports.internal + 1),
        processorCores: 1,
        memoryBytes: limits?.memoryBytes ?? null,
        maximumDescriptors: limits?.maximumDescriptors ?? null,
        linkBytesPerSecond: null,
        bootstrap: true,
        graceMilliseconds,
        maximumViewAgeMilliseconds: 2_000,
        repeatRatio: 0.2,
        repeatExtra: 50,
        repeatWindowMilliseconds: 10_000,
      },
    };
  }
}
