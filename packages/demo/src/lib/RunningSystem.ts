import type ProcessGroup from './ProcessGroup.js';
import type RunningProcess from './RunningProcess.js';

/** The processes of a system on loopback. */
export default interface RunningSystem {
  readonly processes: ProcessGroup;
  readonly platform: RunningProcess;
  /** The first of the processes that run VMs. */
  readonly vms: RunningProcess;
  readonly vmProcesses: readonly RunningProcess[];
  readonly entries: readonly RunningProcess[];
  readonly controllers: readonly RunningProcess[];
  readonly tokenFile: string;
  readonly token: string;
}
