import type LogRecord from './LogRecord.js';

/** Messages that concern every request of the process that logged them. */
const PROCESS_MESSAGES: ReadonlySet<string> = new Set([
  'Configuration is in force.', 'Entry is leaving.', 'Entry started.', 'Entry stopped.', 'Link to the holder ended.',
  'Linked to the holder.', 'Log lines were dropped.', 'Store lost.', 'Store regained.', 'Zone is out of service.',
]);

/** Messages of the lease holder that concern the requests of all processes. */
const HOLDER_MESSAGES: ReadonlySet<string> = new Set(['Term began.', 'Term ended.']);

/** Suffix of all messages about a holder that gives up the lease, whatever the reason. */
const LEASE_GIVEN_UP_SUFFIX = ', giving the lease up.';

/** Process, workers, groups and model that a request involved. */
export interface RequestContext {
  /** Process that served it. */
  readonly source: string;
  readonly workers: ReadonlySet<string>;
  readonly groups: ReadonlySet<string>;
  readonly model: string | null;
}

/** Whether a record describes a change that may have affected the request. */
export default function isRelated(
  { source, message, fields }: LogRecord,
  {
    source: servingProcess, workers, groups, model,
  }: RequestContext,
): boolean {
  if (HOLDER_MESSAGES.has(message) || message.endsWith(LEASE_GIVEN_UP_SUFFIX)) {
    return true;
  }
  if (PROCESS_MESSAGES.has(message)) {
    return source === servingProcess;
  }
  if (message === 'Request ended.') {
    return false;
  }
  return (typeof fields.worker === 'string' && workers.has(fields.worker))
    || (typeof fields.group === 'string' && groups.has(fields.group))
    || (message === 'Group planned.' && model !== null && fields.model === model);
}
