import type { ZodError } from 'zod';

/** Formats a failed schema validation as one line: each path with its message. */
export default function describeIssues(error: ZodError): string {
  return error.issues
    .map((issue) => `${issue.path.length === 0 ? '(root)' : issue.path.join('.')}: ${issue.message}`)
    .join('; ');
}
