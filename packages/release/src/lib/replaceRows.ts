/**
 * Removes the rows with the given ids, adds the others and sorts by id. Equal sets of
 * rows so give equal arrays, whatever the order of the changes that led to them.
 */
export default function replaceRows<Row>(
  rows: readonly Row[],
  removedIds: ReadonlySet<string>,
  addedRows: readonly Row[],
  idOf: (row: Row) => string,
): Row[] {
  const kept = rows.filter((row) => !removedIds.has(idOf(row)));
  return [...kept, ...addedRows].sort((left, right) => (idOf(left) < idOf(right) ? -1 : 1));
}
