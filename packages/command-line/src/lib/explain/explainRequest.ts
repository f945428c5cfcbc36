import type LogRecord from './LogRecord.js';
import isRelated, { type RequestContext } from './isRelated.js';

/** Time before a request in which changes of belief may have decided over it, in ms. */
const BEFORE_MILLISECONDS = 5_000;

/** The same after it, in ms: the holder of the lease learns of a loss a little later. */
const AFTER_MILLISECONDS = 1_500;

const MILLISECONDS = 1_000;

/** Start of an attempt: the worker and, for models, its group and epoch. */
const ATTEMPT = /^(\S+?)(?:@(\S+?)\/\d+)? /;

function describeFields(fields: LogRecord['fields'], omitted: ReadonlySet<string>): string {
  return Object.entries(fields)
    .filter(([name, value]) => !omitted.has(name) && value !== null && value !== '')
    .map(([name, value]) => `${name}=${typeof value === 'object' ? JSON.stringify(value) : String(value)}`)
    .join(' ');
}

function attemptsOf({ fields }: LogRecord): readonly string[] {
  return typeof fields.attempts === 'string' ? fields.attempts.split('; ') : [];
}

function contextOf(end: LogRecord): RequestContext {
  const matches = attemptsOf(end).map((attempt) => ATTEMPT.exec(`${attempt} `));
  return {
    source: end.source,
    workers: new Set(matches.flatMap((match) => match?.[1] ?? [])),
    groups: new Set(matches.flatMap((match) => match?.[2] ?? [])),
    model: typeof end.fields.model === 'string' ? end.fields.model : null,
  };
}

function explainEnd(end: LogRecord, entries: readonly LogRecord[]): readonly string[] {
  const took = typeof end.fields.milliseconds === 'number' ? end.fields.milliseconds : 0;
  const begunAt = end.at - took;
  const context = contextOf(end);
  const near = entries.filter(({ at }) => (
    at >= begunAt - BEFORE_MILLISECONDS && at <= end.at + AFTER_MILLISECONDS
  ));
  const related = near.filter((entry) => isRelated(entry, context));
  const heading = describeFields(end.fields, new Set(['request', 'attempts']));
  return [
    `${new Date(begunAt).toISOString()} ${end.source}: ${heading}`,
    ...attemptsOf(end).map((attempt, index) => `  attempt ${index + 1}: ${attempt}`),
    '  what changed around it, in seconds from its beginning:',
    ...related.map(({
      at, source, part, message, fields,
    }) => {
      const seconds = ((at - begunAt) / MILLISECONDS).toFixed(3).padStart(8);
      return `  ${seconds} ${source} [${part}] ${message} ${describeFields(fields, new Set())}`.trimEnd();
    }),
    ...(related.length === 0 ? ['           nothing'] : []),
    ...(near.some(({ part }) => part === 'groups')
      ? [] : ['  missing: no line of the holder of the lease (part groups) near it; add the logs of all entries']),
    ...(near.some(({ message }) => message === 'Log lines were dropped.')
      ? ['  missing: lines were dropped near it'] : []),
  ];
}

/**
 * The course of a request over all processes: how it ended, its attempts, and the changes of belief
 * around it, oldest first. Empty when no line tells of the request.
 */
export default function explainRequest(entries: readonly LogRecord[], request: string): readonly string[] {
  const sorted = [...entries].sort((left, right) => left.at - right.at);
  return sorted.filter(({ message, fields }) => message === 'Request ended.' && fields.request === request)
    .flatMap((end) => explainEnd(end, sorted));
}
