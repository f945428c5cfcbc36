/**
 * Removes the rows with the given ids, adds new rows and sorts by id, so that equal sets of
 * rows give equal arrays regardless of the order of the changes.
 */
export default function replaceRows<Row>(
  rows: readonly Row[],
  removedIds: ReadonlySet<string>,
  addedRows: readonly Row[],
  getId: (row: Row) => string,
): Row[] {
  const kept = rows.filter((row) => !removedIds.has(getId(row)));
  return [...kept, ...addedRows].sort((left, right) => (getId(left) < getId(right) ? -1 : 1));
}
