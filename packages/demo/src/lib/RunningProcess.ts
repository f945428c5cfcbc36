import type { ChildProcess } from 'node:child_process';

/** A process that said that it is ready, with the addresses that it printed. */
export default interface RunningProcess {
  readonly name: string;
  readonly child: ChildProcess;
  readonly addresses: Readonly<Record<string, unknown>>;
}
