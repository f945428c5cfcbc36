import type { ZodError } from 'zod';

/** One line from a failed schema check: each path with what was expected. */
export default function describeIssues(error: ZodError): string {
  return error.issues
    .map((issue) => `${issue.path.length === 0 ? '(root)' : issue.path.join('.')}: ${issue.message}`)
    .join('; ');
}
