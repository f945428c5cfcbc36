import { z } from 'zod';

const MAXIMUM_ROWS = 1_000;

/** Query of `GET /v1/rows`: rows of one table in key order. */
const TableScan = z.object({
  table: z.string().min(1),
  /** Only keys that begin with this text. */
  prefix: z.string().default(''),
  /** Only keys after this one, for the next page. */
  after: z.string().default(''),
  limit: z.coerce.number().int().min(1).max(MAXIMUM_ROWS)
    .default(MAXIMUM_ROWS),
});
type TableScan = z.infer<typeof TableScan>;

export default TableScan;
