import { z } from 'zod';
import RowVersion from '../ids/RowVersion.js';
import TableRowKey from './TableRowKey.js';

/** A row as read. Version 0 and value null: the row does not exist. */
const TableRow = TableRowKey.extend({
  version: RowVersion,
  value: z.unknown(),
});
type TableRow = z.infer<typeof TableRow>;

export default TableRow;
