import { z } from 'zod';

const milliseconds = z.number().nonnegative();
const answers = z.number().int().min(1).default(1);

/**
 * Fault of a VM stand-in. `kill`: refuses connections until `restart`, which brings
 * it back empty with a new incarnation. `freeze`: accepts connections and answers
 * nothing until `thaw`. `go-cold`: falls back into cold start without warning, same
 * incarnation; requests accepted before do not count against what it bears.
 * `leave`: takes no new work. `slow`: tokens take `factor` times as long, plain
 * answers `milliseconds` longer. `late-answer`: the next answers are complete but
 * sent late. `duplicate-answer`: the next answers are sent twice on the connection.
 */
const VMFault = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('kill') }),
  z.strictObject({ kind: z.literal('restart') }),
  z.strictObject({ kind: z.literal('freeze') }),
  z.strictObject({ kind: z.literal('thaw') }),
  z.strictObject({ kind: z.literal('go-cold') }),
  z.strictObject({ kind: z.literal('leave') }),
  z.strictObject({
    kind: z.literal('slow'),
    factor: z.number().min(1).default(1),
    milliseconds: milliseconds.default(0),
  }),
  z.strictObject({ kind: z.literal('late-answer'), milliseconds, answers }),
  z.strictObject({ kind: z.literal('duplicate-answer'), answers }),
]);
type VMFault = z.infer<typeof VMFault>;

export default VMFault;
