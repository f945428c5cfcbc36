import type TableRow from './TableRow.js';

/**
 * Result of a query for the changes of a table. `changes`: the changed rows in order, each with
 * the version of its change; a deleted row has value null.
 * `history-lost`: the store no longer has the requested changes; read the whole table again.
 */
type TableChanges = | { readonly kind: 'changes'; readonly rows: readonly TableRow[] }
  | { readonly kind: 'history-lost' };

export default TableChanges;
