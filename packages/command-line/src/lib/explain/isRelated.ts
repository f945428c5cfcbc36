import type LogRecord from './LogRecord.js';

/** Changes of belief that concern every request of the process that wrote them. */
const OF_THE_PROCESS: ReadonlySet<string> = new Set([
  'Configuration is in force.', 'Entry is leaving.', 'Entry started.', 'Entry stopped.', 'Link to the holder ended.',
  'Linked to the holder.', 'Log lines were dropped.', 'Store lost.', 'Store regained.', 'Zone is out of service.',
]);

/** Changes of belief of the holder of the lease, which concern all processes. */
const OF_THE_HOLDER: ReadonlySet<string> = new Set(['Term began.', 'Term ended.']);

/** End of the lines by which a holder gives the lease up, for one reason or another. */
const GIVING_UP = ', giving the lease up.';

/** What a request has had to do with. */
export interface RequestContext {
  /** Process that served it. */
  readonly source: string;
  readonly workers: ReadonlySet<string>;
  readonly groups: ReadonlySet<string>;
  readonly model: string | null;
}

/** Whether a line tells of a change that may have decided over the request. */
export default function isRelated(
  { source, message, fields }: LogRecord,
  {
    source: server, workers, groups, model,
  }: RequestContext,
): boolean {
  if (OF_THE_HOLDER.has(message) || message.endsWith(GIVING_UP)) {
    return true;
  }
  if (OF_THE_PROCESS.has(message)) {
    return source === server;
  }
  if (message === 'Request ended.') {
    return false;
  }
  return (typeof fields.worker === 'string' && workers.has(fields.worker))
    || (typeof fields.group === 'string' && groups.has(fields.group))
    || (message === 'Group planned.' && model !== null && fields.model === model);
}
