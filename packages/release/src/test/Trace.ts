import { ReleaseChange } from '@dandelionlane/core';
import { z } from 'zod';
import Fault from './Fault.js';

const common = {
  publisher: z.string(),
  /** What the step's calls to the store meet, in order; calls beyond the list meet nothing. */
  faults: z.array(Fault),
  outcome: z.string(),
};

/** Calls of several publishers to one store, with the outcome stated for each and for the whole. */
const Trace = z.strictObject({
  summary: z.string(),
  steps: z.array(z.discriminatedUnion('kind', [
    z.strictObject({ kind: z.literal('publish'), ...common, change: ReleaseChange }),
    /** The publisher follows the log from the state that it knows. */
    z.strictObject({ kind: z.literal('load'), ...common }),
  ])),
  /** Publisher of each record of the log at the end. */
  logOf: z.array(z.string()),
  inForce: z.strictObject({
    services: z.array(z.string()), availabilityZonesOut: z.array(z.string()), vmsOut: z.array(z.string()),
  }),
});
type Trace = z.infer<typeof Trace>;

export default Trace;
