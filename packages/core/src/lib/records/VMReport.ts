import { z } from 'zod';
import FencingNumber from '../ids/FencingNumber.js';
import Incarnation from '../ids/Incarnation.js';
import ReplicaId from '../ids/ReplicaId.js';
import ServiceId from '../ids/ServiceId.js';
import VMId from '../ids/VMId.js';
import VMPhase from './VMPhase.js';

/** Report of a VM about the replica it hosts and its load. Load figures lag behind. */
const VMReport = z.object({
  vm: VMId,
  incarnation: Incarnation,
  /** Increases with every report of one incarnation; a report with a smaller sequence is out of date. */
  sequence: z.number().int().nonnegative(),
  phase: VMPhase,
  replica: ReplicaId.nullable(),
  service: ServiceId.nullable(),
  version: z.string().nullable(),
  /** Largest fencing number among the orders that the VM has accepted. */
  fencing: FencingNumber,
  /** Whether the VM has been asked to leave; it then accepts no new work. */
  leaving: z.boolean(),
  runningRequests: z.number().int().nonnegative(),
  waitingRequests: z.number().int().nonnegative(),
  /** Estimated number of tokens still to be generated for accepted requests. */
  outstandingTokens: z.number().nonnegative(),
});
type VMReport = z.infer<typeof VMReport>;

export default VMReport;
