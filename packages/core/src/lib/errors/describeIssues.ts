import type { ZodError } from 'zod';

/** Maximum issues that are listed: a long list in which each item is wrong has thousands. */
const MAXIMUM_LISTED = 20;

/** Formats a failed schema validation as one line: each path with its message. */
export default function describeIssues(error: ZodError): string {
  const listed = error.issues.slice(0, MAXIMUM_LISTED)
    .map((issue) => `${issue.path.length === 0 ? '(root)' : issue.path.join('.')}: ${issue.message}`);
  const others = error.issues.length - listed.length;
  return [...listed, ...others === 0 ? [] : [`${others} more`]].join('; ');
}
