import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import type RunningProcess from './RunningProcess.js';

const READY_PREFIX = 'ready ';
const READY_TIMEOUT_MILLISECONDS = 20_000;
const STOP_TIMEOUT_MILLISECONDS = 20_000;

/** Starts processes, waits until each is ready, and ends those that it started. */
export default class ProcessGroup {
  readonly #directory: string;

  readonly #processes: RunningProcess[] = [];

  /** @param directory Where each process's output goes, one file a process. */
  constructor(directory: string) {
    this.#directory = directory;
  }

  /** Starts a Node.js program and resolves when it has printed its ready line. */
  async start(name: string, program: string, parameters: readonly string[]): Promise<RunningProcess> {
    const child = spawn(process.execPath, [program, ...parameters], { stdio: ['ignore', 'pipe', 'pipe'] });
    const output = createWriteStream(join(this.#directory, `${name}.log`), { flags: 'a' });
    child.stderr.pipe(output, { end: false });
    const addresses = await new Promise<Readonly<Record<string, unknown>>>((resolve, reject) => {
      const timer = setTimeout(() => reject(new Error(`${name} was not ready in time`)), READY_TIMEOUT_MILLISECONDS);
      createInterface({ input: child.stdout }).on('line', (line) => {
        output.write(`${line}\n`);
        if (line.startsWith(READY_PREFIX)) {
          clearTimeout(timer);
          resolve(JSON.parse(line.slice(READY_PREFIX.length)) as Record<string, unknown>);
        }
      });
      child.once('exit', (code) => {
        clearTimeout(timer);
        reject(new Error(`${name} ended with code ${String(code)} before it was ready`));
      });
    });
    const running: RunningProcess = { name, child, addresses };
    this.#processes.push(running);
    return running;
  }

  /** Asks every process to end, the last started first, and waits until all have. */
  async stop(): Promise<void> {
    for (const { child } of [...this.#processes].reverse()) {
      await ProcessGroup.end(child);
    }
  }

  /** Graceful shutdown of one process; one that does not end in time is killed. */
  static async end(child: ChildProcess): Promise<number | null> {
    if (child.exitCode !== null || child.signalCode !== null) {
      return child.exitCode;
    }
    return new Promise((resolve) => {
      const timer = setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MILLISECONDS);
      child.once('exit', (code) => {
        clearTimeout(timer);
        resolve(code);
      });
      child.kill('SIGTERM');
    });
  }
}
