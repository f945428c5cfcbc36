import { z } from 'zod';
import TableRowKey from './TableRowKey.js';

/** Writes a whole row; null deletes it. */
const TableWrite = TableRowKey.extend({ value: z.unknown() });
type TableWrite = z.infer<typeof TableWrite>;

export default TableWrite;
