import { z } from 'zod';
import RowVersion from '../ids/RowVersion.js';
import TableRowKey from './TableRowKey.js';

/** Precondition of a transaction: the row still has this version. Version 0: the row is absent. */
const TableCondition = TableRowKey.extend({ version: RowVersion });
type TableCondition = z.infer<typeof TableCondition>;

export default TableCondition;
