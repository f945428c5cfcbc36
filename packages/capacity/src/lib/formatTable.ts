const GAP = '  ';

/** Text table with columns of equal width. */
export default function formatTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
  const all = [header, ...rows];
  const widths = header.map((_, column) => Math.max(...all.map((row) => (row[column] ?? '').length)));
  return all
    .map((row) => row.map((cell, column) => (
      column === 0 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)
    )).join(GAP).trimEnd())
    .join('\n');
}
