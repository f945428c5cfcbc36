import { z } from 'zod';
import RowVersion from '../ids/RowVersion.js';
import TableRow from './TableRow.js';

/**
 * Result of a transaction. `committed`: `version` is the new version of every written row.
 * `conflict`: nothing was written; `rows` are the rows whose condition failed.
 */
const TransactionOutcome = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('committed'), version: RowVersion }),
  z.object({ kind: z.literal('conflict'), rows: z.array(TableRow) }),
]);
type TransactionOutcome = z.infer<typeof TransactionOutcome>;

export default TransactionOutcome;
