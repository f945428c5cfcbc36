import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import findPort from './findPort.js';
import getJSON from './getJSON.js';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));

/** The `run` line of the deploy file. */
const PROGRAM_ARGUMENTS = ['--max-old-space-size=200', 'target/start.cjs'];

const PORTS = 5;
const START_TIMEOUT_MILLISECONDS = 20_000;
const POLL_MILLISECONDS = 50;

const INTERRUPTED_EXIT_CODE = 2;

// The processes end with the one that started them.
['SIGINT', 'SIGTERM'].forEach((signal) => process.once(signal, () => {
  // eslint-disable-next-line n/no-process-exit -- ends the run at once
  process.exit(INTERRUPTED_EXIT_CODE);
}));

process.once('uncaughtException', (error) => {
  process.stderr.write(`${error.stack}\n`);
  // eslint-disable-next-line n/no-process-exit -- a fault of the script is no broken rule
  process.exit(INTERRUPTED_EXIT_CODE);
});

/** A process of the system, started as the deploy file says, with settings of a small deployment. */
export default class EntryProcess {
  #child = null;

  #options;

  #port;

  constructor(options, port) {
    this.#options = options;
    this.#port = port;
  }

  static async create(options) {
    return new EntryProcess(options, await findPort(PORTS));
  }

  get name() {
    return this.#options.name;
  }

  /** Address for callers, as `host:port`. */
  get address() {
    return `127.0.0.1:${this.#port}`;
  }

  /** Address of the directory, as `host:port`. */
  get directoryAddress() {
    return `127.0.0.1:${this.#port + 1}`;
  }

  get hasEnded() {
    return this.#child === null || this.#child.exitCode !== null || this.#child.signalCode !== null;
  }

  get pid() {
    return this.#child?.pid ?? 0;
  }

  async start() {
    const { name, directory } = this.#options;
    const path = join(directory, `${name}.conf`);
    await writeFile(path, this.#renderSettings());
    const { PATH, HOME, LANG } = process.env;
    this.#child = spawn(process.execPath, PROGRAM_ARGUMENTS, {
      cwd: ROOT,
      env: {
        PATH, HOME, LANG, DANDELIONLANE_SETTINGS: path,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const child = this.#child;
    process.once('exit', () => child.kill('SIGKILL'));
    const log = createWriteStream(join(directory, `${name}.log`), { flags: 'a' });
    this.#child.stdout.pipe(log, { end: false });
    this.#child.stderr.pipe(log, { end: false });
  }

  signal(signal) {
    this.#child?.kill(signal);
  }

  /** Resolves once the process answers that it is ready. */
  async waitUntilReady() {
    const until = performance.now() + START_TIMEOUT_MILLISECONDS;
    while (performance.now() < until) {
      const answer = await getJSON(`http://127.0.0.1:${this.#port + 2}/dandelionlane/readyz`);
      if (answer?.status === 200) {
        return;
      }
      await sleep(POLL_MILLISECONDS);
    }
    throw new Error(`${this.name} is not ready in time`);
  }

  /** Kills the process if it runs, and resolves once it is gone. */
  async end() {
    if (!this.hasEnded) {
      const ended = once(this.#child, 'exit');
      this.#child.kill('SIGCONT');
      this.#child.kill('SIGKILL');
      await ended;
    }
  }

  #renderSettings() {
    const { name, zone, storeAddress } = this.#options;
    const at = (offset) => `127.0.0.1:${this.#port + offset}`;
    return [
      `node_name=${name}`,
      'role=entry',
      'machine_class=edge',
      'serves=edge,directory',
      'ip=127.0.0.1',
      `zone=${zone}`,
      'region=region-1',
      `zones.${zone}=region-1`,
      `listen_addrs.frontend=${at(0)}`,
      `listen_addrs.directory=${at(1)}`,
      `listen_addrs.readiness=${at(2)}`,
      `internal_ports=${this.#port + 3},${this.#port + 4}`,
      'bootstrap=true',
      'in_tolerance=false',
      'limits.cpu_share=0.675',
      'limits.cpu_cores=1',
      'limits.memory_mb=350',
      'limits.max_fds=4100',
      'discovery=platform',
      'entrypoint=directory',
      'heartbeat_ms=1200',
      'parameters.stable_window_ms=3000',
      'parameters.drain_ms=2000',
      'parameters.grace_s=8',
      'parameters.lost_ms=200',
      'parameters.config_apply_ms=2000',
      'parameters.retry_budget_ratio=0.2',
      'parameters.budget_window_s=10',
      'parameters.budget_extra=134',
      'parameters.evac_ms=5000',
      'parameters.stall_ms=6000',
      'parameters.require_fence=true',
      'parameters.ttl_max_s=5',
      `platform.address=${storeAddress}`,
      'platform.form=table',
      '',
    ].join('\n');
  }
}
