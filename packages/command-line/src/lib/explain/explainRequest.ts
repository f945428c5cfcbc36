import type LogRecord from './LogRecord.js';
import isRelated, { type RequestContext } from './isRelated.js';

/** State changes this long before a request may have affected its outcome. */
const LOOKBACK_MILLISECONDS = 5_000;

/** Covers changes after the end of a request, since the lease holder detects a loss with some delay. */
const LOOKAHEAD_MILLISECONDS = 1_500;

const MILLISECONDS_PER_SECOND = 1_000;

/** Start of an attempt: the worker and, for models, its group and epoch. */
const ATTEMPT_PATTERN = /^(\S+?)(?:@(\S+?)\/\d+)? /;

function describeFields(fields: LogRecord['fields'], omitted: ReadonlySet<string>): string {
  return Object.entries(fields)
    .filter(([name, value]) => !omitted.has(name) && value !== null && value !== '')
    .map(([name, value]) => `${name}=${typeof value === 'object' ? JSON.stringify(value) : String(value)}`)
    .join(' ');
}

function listAttempts({ fields }: LogRecord): readonly string[] {
  return typeof fields.attempts === 'string' ? fields.attempts.split('; ') : [];
}

function buildRequestContext(end: LogRecord): RequestContext {
  const matches = listAttempts(end).map((attempt) => ATTEMPT_PATTERN.exec(`${attempt} `));
  return {
    source: end.source,
    workers: new Set(matches.flatMap((match) => match?.[1] ?? [])),
    groups: new Set(matches.flatMap((match) => match?.[2] ?? [])),
    model: typeof end.fields.model === 'string' ? end.fields.model : null,
  };
}

function describeRequest(end: LogRecord, records: readonly LogRecord[]): readonly string[] {
  const durationMilliseconds = typeof end.fields.milliseconds === 'number' ? end.fields.milliseconds : 0;
  const startedAt = end.at - durationMilliseconds;
  const context = buildRequestContext(end);
  const nearby = records.filter(({ at }) => (
    at >= startedAt - LOOKBACK_MILLISECONDS && at <= end.at + LOOKAHEAD_MILLISECONDS
  ));
  const related = nearby.filter((record) => isRelated(record, context));
  const heading = describeFields(end.fields, new Set(['request', 'attempts']));
  return [
    `${new Date(startedAt).toISOString()} ${end.source}: ${heading}`,
    ...listAttempts(end).map((attempt, index) => `  attempt ${index + 1}: ${attempt}`),
    '  what changed around it, in seconds from its beginning:',
    ...related.map(({
      at, source, part, message, fields,
    }) => {
      const seconds = ((at - startedAt) / MILLISECONDS_PER_SECOND).toFixed(3).padStart(8);
      return `  ${seconds} ${source} [${part}] ${message} ${describeFields(fields, new Set())}`.trimEnd();
    }),
    ...(related.length === 0 ? ['           nothing'] : []),
    ...(nearby.some(({ part }) => part === 'groups')
      ? [] : ['  missing: no line of the holder of the lease (part groups) near it; add the logs of all entries']),
    ...(nearby.some(({ message }) => message === 'Log lines were dropped.')
      ? ['  missing: lines were dropped near it'] : []),
  ];
}

/**
 * Describes a request across all processes: its outcome, its attempts, and the state changes around it,
 * oldest first. Empty if the records do not contain the request.
 */
export default function explainRequest(records: readonly LogRecord[], request: string): readonly string[] {
  const sorted = [...records].sort((left, right) => left.at - right.at);
  return sorted.filter(({ message, fields }) => message === 'Request ended.' && fields.request === request)
    .flatMap((end) => describeRequest(end, sorted));
}
