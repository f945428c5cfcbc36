/**
 * Measures the cost of parsing, validating, applying and loading for several numbers of
 * services, and prints a table with the growth per 1,000 services.
 *
 * Run with `npx tsx packages/release/src/bench/measureRelease.ts`.
 */
import {
  EMPTY_RELEASE_STATE, ReleaseChange, type ReleaseNote, ReleaseRecord, ReleaseState, ServiceDefinition,
  SystemClock,
} from '@dandelionlane/core';
import {
  applyRecord, diffReleaseNote, parseReleaseNote, validateChange,
} from '../index.js';
import splitState from '../lib/splitState.js';

const SERVICE_COUNTS = [1_000, 2_000, 4_000] as const;
const SERVICES_PER_NOTE = 10;
const WARM_UP_RUNS = 20;
const MEASURED_RUNS = 101;
const BYTES_PER_KILOBYTE = 1_000;

type Measures = Readonly<Record<string, number>>;

const clock = new SystemClock();

function median(values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;
}

/** Returns the median duration in milliseconds. */
function measureMilliseconds(run: () => unknown): number {
  const durations = Array.from({ length: WARM_UP_RUNS + MEASURED_RUNS }, () => {
    const start = clock.monotonicMilliseconds();
    run();
    return clock.monotonicMilliseconds() - start;
  });
  return median(durations.slice(WARM_UP_RUNS));
}

function buildService(index: number, version: string): ServiceDefinition {
  return ServiceDefinition.parse({
    kind: 'model',
    service: `service-${String(index).padStart(5, '0')}`,
    team: `team-${index % 10}`,
    replicas: 3,
    version,
    model: 'assistant-large',
    vmsPerReplica: 4,
    acceleratorsPerVM: 8,
  });
}

function buildState(count: number): ReleaseState {
  const services = Array.from({ length: count }, (_, index) => (
    { definition: buildService(index, '1'), changedAt: 1 }));
  return ReleaseState.parse({ ...EMPTY_RELEASE_STATE, sequence: 1, services });
}

/** Builds the record of a note that changes services spread over the whole state. */
function buildRecord(state: ReleaseState): ReleaseRecord {
  const step = Math.floor(state.services.length / SERVICES_PER_NOTE);
  const change = Array.from({ length: SERVICES_PER_NOTE }, (_, index) => buildService(index * step, '2'));
  return ReleaseRecord.parse({
    sequence: state.sequence + 1,
    nonce: 'nonce-000',
    publishedAt: clock.now().toISOString(),
    change: { kind: 'note', note: { writtenAgainst: state.sequence, change } },
  });
}

function measureNote(state: ReleaseState, note: ReleaseNote, record: ReleaseRecord): Measures {
  const noteText = JSON.stringify(note, null, 2);
  const change = ReleaseChange.parse({ kind: 'note', note });
  return {
    'record, kB of JSON': JSON.stringify(record).length / BYTES_PER_KILOBYTE,
    'parse a note file, ms': measureMilliseconds(() => parseReleaseNote(noteText, 'note.jsonc')),
    'check a record, ms': measureMilliseconds(() => ReleaseRecord.parse(record)),
    'validate a note, ms': measureMilliseconds(() => validateChange(state, change)),
    'apply a record, ms': measureMilliseconds(() => applyRecord(state, record)),
    'compare a note, ms': measureMilliseconds(() => diffReleaseNote(state, note)),
  };
}

function measureState(state: ReleaseState): Measures {
  const text = JSON.stringify(state);
  const parts = splitState(state).map((part) => JSON.stringify(part).length);
  return {
    'parts of a snapshot': parts.length,
    'largest part, kB of JSON': Math.max(...parts) / BYTES_PER_KILOBYTE,
    'state, kB of JSON': text.length / BYTES_PER_KILOBYTE,
    'write the state, ms': measureMilliseconds(() => JSON.stringify(state)),
    'read and check the state, ms': measureMilliseconds(() => ReleaseState.parse(JSON.parse(text))),
  };
}

function measure(count: number): Measures {
  const state = buildState(count);
  const record = buildRecord(state);
  if (record.change.kind !== 'note') {
    return {};
  }
  return { ...measureState(state), ...measureNote(state, record.change.note, record) };
}

/** Growth for each further 1,000 services, between the smallest and the largest count. */
function growthPerThousand(values: readonly number[]): number {
  const first = SERVICE_COUNTS[0];
  const last = SERVICE_COUNTS[SERVICE_COUNTS.length - 1] ?? first;
  return (((values.at(-1) ?? 0) - (values[0] ?? 0)) / (last - first)) * 1_000;
}

function formatRow(label: string, values: readonly number[]): string {
  const cells = [...values, growthPerThousand(values)].map((value) => value.toFixed(3).padStart(10));
  return `${label.padEnd(30)}${cells.join('')}`;
}

const measures = SERVICE_COUNTS.map(measure);
const heading = [...SERVICE_COUNTS.map(String), 'per 1,000'].map((cell) => cell.padStart(10)).join('');
const rows = Object.keys(measures[0] ?? {}).map((label) => (
  formatRow(label, measures.map((values) => values[label] ?? 0))));
process.stdout.write(`${[`${'services'.padEnd(30)}${heading}`, ...rows].join('\n')}\n`);
