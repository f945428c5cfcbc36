import { z } from 'zod';
import FencingNumber from '../ids/FencingNumber.js';
import Incarnation from '../ids/Incarnation.js';
import ReplicaId from '../ids/ReplicaId.js';
import ServiceId from '../ids/ServiceId.js';
import VMId from '../ids/VMId.js';
import VMPhase from './VMPhase.js';

/** A VM's own report of what it carries and how busy it is. Load figures lag. */
const VMReport = z.object({
  vm: VMId,
  incarnation: Incarnation,
  /** Grows with every report of one incarnation; a smaller one is out of date. */
  sequence: z.number().int().nonnegative(),
  phase: VMPhase,
  replica: ReplicaId.nullable(),
  service: ServiceId.nullable(),
  version: z.string().nullable(),
  /** Largest fencing number among the orders that it has accepted. */
  fencing: FencingNumber,
  /** The VM has been told to leave: it takes no new work. */
  leaving: z.boolean(),
  runningRequests: z.number().int().nonnegative(),
  waitingRequests: z.number().int().nonnegative(),
  /** Tokens still to be generated for accepted requests, an estimate. */
  outstandingTokens: z.number().nonnegative(),
});
type VMReport = z.infer<typeof VMReport>;

export default VMReport;
