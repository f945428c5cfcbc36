/** A row of results by column name. */
type ResultRow = Readonly<Record<string, string | number>>;

/** Prints a table of results as Markdown and as one line of JSON. */
export default function printTable(title: string, rows: readonly ResultRow[]): void {
  const columns = Object.keys(rows[0] ?? {});
  const lines = rows.map((row) => `| ${columns.map((column) => (Number.isNaN(row[column]) ? 'none' : row[column] ?? '')).join(' | ')} |`);
  const head = [`| ${columns.join(' | ')} |`, `|${columns.map(() => ' --- ').join('|')}|`];
  const json = JSON.stringify({ title, rows });
  process.stdout.write(`\n## ${title}\n\n${[...head, ...lines].join('\n')}\n\n${json}\n`);
}
