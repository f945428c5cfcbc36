import CONTROL_BUDGET from './CONTROL_BUDGET.js';
import type Figures from './Figures.js';
import formatNumber from './formatNumber.js';
import formatTable from './formatTable.js';
import type Load from './Load.js';
import type RoleLoad from './RoleLoad.js';
import sumLoads from './sumLoads.js';

const MICROSECONDS_PER_PERCENT = 10_000;
const BYTES_PER_KILOBYTE = 1_000;
const BYTES_PER_MEGABYTE = 1_000_000;

const HEADER = ['', 'messages/s', 'KB/s', '% of a core', 'memory MB', 'store reads/s', 'store writes/s'];

function toRow(name: string, load: Load): readonly string[] {
  return [
    name,
    formatNumber(load.messagesPerSecond),
    formatNumber(load.bytesPerSecond / BYTES_PER_KILOBYTE),
    formatNumber(load.microsecondsPerSecond / MICROSECONDS_PER_PERCENT),
    formatNumber(load.memoryBytes / BYTES_PER_MEGABYTE),
    formatNumber(load.storeReadsPerSecond),
    formatNumber(load.storeWritesPerSecond),
  ];
}

function budgetRow(): readonly string[] {
  return toRow('budget', {
    mechanism: 'budget',
    messagesPerSecond: 0,
    bytesPerSecond: CONTROL_BUDGET.bytesPerSecond,
    microsecondsPerSecond: CONTROL_BUDGET.microsecondsPerSecond,
    memoryBytes: CONTROL_BUDGET.memoryBytes,
    storeReadsPerSecond: CONTROL_BUDGET.storeReadsPerSecond,
    storeWritesPerSecond: CONTROL_BUDGET.storeWritesPerSecond,
  }).map((cell, column) => (column === 1 ? '-' : cell));
}

function formatRoles(roles: readonly RoleLoad[]): string {
  const rows = roles.flatMap(({ role, loads }) => [
    toRow(role, sumLoads(loads)),
    ...loads.map((load) => toRow(`  ${load.mechanism}`, load)),
  ]);
  return formatTable(HEADER, [budgetRow(), ...rows]);
}

/** The measured figures and the roles as text. */
export default function formatReport(figures: Figures, roles: readonly RoleLoad[]): string {
  const measured = formatTable(
    ['measured', 'value', 'unit'],
    figures.all.map(({ name, value, unit }) => [name, formatNumber(value), unit]),
  );
  return `${measured}\n\n${formatRoles(roles)}\n`;
}
