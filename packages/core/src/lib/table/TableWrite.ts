import { z } from 'zod';
import TableRowKey from './TableRowKey.js';

/** Replaces a whole row; a null value deletes it. */
const TableWrite = TableRowKey.extend({ value: z.unknown() });
type TableWrite = z.infer<typeof TableWrite>;

export default TableWrite;
