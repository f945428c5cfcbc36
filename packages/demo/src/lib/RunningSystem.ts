import type ProcessGroup from './ProcessGroup.js';
import type RunningProcess from './RunningProcess.js';

/** The processes of a system on loopback. */
export default interface RunningSystem {
  readonly processes: ProcessGroup;
  readonly platform: RunningProcess;
  readonly vms: RunningProcess;
  readonly entries: readonly RunningProcess[];
  readonly controllers: readonly RunningProcess[];
  readonly tokenFile: string;
  readonly token: string;
}
