import { z } from 'zod';
import TableCondition from './TableCondition.js';
import TableWrite from './TableWrite.js';

const MAXIMUM_ROWS = 1_000;

/** Body of `POST /v1/transactions`. Applies all writes if all conditions hold, otherwise none. */
const TableTransaction = z.object({
  conditions: z.array(TableCondition).max(MAXIMUM_ROWS),
  writes: z.array(TableWrite).max(MAXIMUM_ROWS),
});
type TableTransaction = z.infer<typeof TableTransaction>;

export default TableTransaction;
