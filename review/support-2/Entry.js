import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { HOST, ROOT, ZONE } from './constants.js';
import findPorts from './findPorts.js';

/** An entry, started as the deploy file says. */
export default class Entry {
  constructor({
    name, store, directory, memoryMegabytes = 350, descriptors = 4_100, bootstrap = true, lines = [],
  }) {
    Object.assign(this, {
      name, store, directory, memoryMegabytes, descriptors, bootstrap, lines,
    });
    this.ends = [];
  }

  async prepare() {
    this.port = await findPorts(5);
    const at = (offset) => `${HOST}:${this.port + offset}`;
    this.callers = at(0);
    this.readiness = at(1);
    this.directoryAddress = at(2);
    this.path = join(this.directory, `${this.name}.conf`);
  }

  async start() {
    const { port } = this;
    await writeFile(this.path, [
      `node_name=${this.name}`, 'role=entry', 'machine_class=edge', 'serves=edge,directory', `ip=${HOST}`, `zone=${ZONE}`, 'region=region',
      `zones.${ZONE}=region`, `listen_addrs.frontend=${this.callers}`, `listen_addrs.readiness=${this.readiness}`,
      `listen_addrs.directory=${this.directoryAddress}`, `internal_ports=${port + 3},${port + 4}`, `bootstrap=${this.bootstrap}`,
      'limits.cpu_share=0.675', 'limits.cpu_cores=1', `limits.memory_mb=${this.memoryMegabytes}`, `limits.max_fds=${this.descriptors}`,
      'limits.link_mbps=1000.0', 'heartbeat_ms=1200', 'fault_tolerance.machines=1', 'parameters.drain_ms=2000', 'parameters.config_apply_ms=2000',
      'parameters.grace_s=8', 'parameters.stable_window_ms=3000', 'parameters.retry_budget_ratio=0.2', 'parameters.budget_window_s=10',
      'parameters.budget_extra=134', `platform.address=${this.store.address}`, 'platform.form=table', ...this.lines,
    ].join('\n'));
    const child = spawn(process.execPath, ['--max-old-space-size=200', 'target/start.cjs'], {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C', DANDELIONLANE_SETTINGS: this.path,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(this.directory, `${this.name}.log`), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once('exit', (code, signal) => {
      this.ends.push({ code, signal, wanted: this.child !== child || this.isEnding });
    });
    this.isEnding = false;
    this.child = child;
  }

  get running() {
    return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Reads the resident memory in MB; null for a process that has ended. */
  async readMegabytes() {
    try {
      const status = await readFile(`/proc/${this.child.pid}/status`, 'utf8');
      const megabytes = Math.round((Number(/^VmRSS:\s+(\d+)/m.exec(status)[1]) * 1_024) / 1e6);
      this.peakMegabytes = Math.max(this.peakMegabytes ?? 0, megabytes);
      return megabytes;
    } catch {
      return null;
    }
  }

  async kill(signal = 'SIGKILL') {
    this.isEnding = true;
    if (this.running) {
      const ended = new Promise((done) => {
        this.child.once('exit', done);
      });
      this.child.kill('SIGCONT');
      this.child.kill(signal);
      await ended;
    }
  }
}
