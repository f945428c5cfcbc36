/** Statuses that promise callers that their request has not run and will not. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether a status promises callers that their request has not run and will not. */
export default function isNotRunStatus(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}
