import type ExperimentRow from './ExperimentRow.js';

function format(value: string | number): string {
  return typeof value === 'number' ? String(Number(value.toPrecision(4))) : value;
}

/** Formats rows as a Markdown table. The first row determines the columns. */
export default function formatTable(rows: readonly ExperimentRow[]): string {
  const columns = Object.keys(rows[0] ?? {});
  const lines = [
    columns,
    columns.map(() => '---'),
    ...rows.map((row) => columns.map((column) => format(row[column] ?? ''))),
  ];
  return lines.map((cells) => `| ${cells.join(' | ')} |`).join('\n');
}
