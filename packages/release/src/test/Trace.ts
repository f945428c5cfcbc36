import { ReleaseChange } from '@dandelionlane/core';
import { z } from 'zod';
import Fault from './Fault.js';

const common = {
  publisher: z.string(),
  /** Faults of the step's calls to the store, in order. Calls beyond the list have none. */
  faults: z.array(Fault),
  outcome: z.string(),
};

/** Calls of several publishers to one store, with the expected outcome of each and the expected end state. */
const Trace = z.strictObject({
  summary: z.string(),
  steps: z.array(z.discriminatedUnion('kind', [
    z.strictObject({ kind: z.literal('publish'), ...common, change: ReleaseChange }),
    /** The publisher catches up with the log from the state that it has. */
    z.strictObject({ kind: z.literal('load'), ...common }),
  ])),
  /** Publisher of each record of the final log. */
  logOf: z.array(z.string()),
  inForce: z.strictObject({
    services: z.array(z.string()), availabilityZonesOut: z.array(z.string()), vmsOut: z.array(z.string()),
  }),
});
type Trace = z.infer<typeof Trace>;

export default Trace;
