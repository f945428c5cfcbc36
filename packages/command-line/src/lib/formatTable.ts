const COLUMN_GAP = '  ';

/** Aligns columns; the first row is the heading. */
export default function formatTable(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, column) => (
    rows.reduce((width, row) => Math.max(width, row[column]?.length ?? 0), 0)
  ));
  return rows
    .map((row) => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(COLUMN_GAP).trimEnd())
    .join('\n');
}
