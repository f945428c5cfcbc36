import { z } from 'zod';

const MAXIMUM_TABLE_LENGTH = 64;
const MAXIMUM_KEY_LENGTH = 512;

/** Address of a row in the table service. */
const TableRowKey = z.object({
  table: z.string().min(1).max(MAXIMUM_TABLE_LENGTH),
  key: z.string().min(1).max(MAXIMUM_KEY_LENGTH),
});
type TableRowKey = z.infer<typeof TableRowKey>;

export default TableRowKey;
