import { Problem } from '@dandelionlane/core';
import EXIT_CODES from './EXIT_CODES.js';
import type Failure from './Failure.js';
import type HttpAnswer from './HttpAnswer.js';

/** Formats each fault or conflict in the detail on a separate line. */
function formatProblem({ title, kind, detail }: Problem): string {
  return [`refused: ${title} (${kind})`, ...detail.split('; ').map((line) => `  ${line}`)].join('\n');
}

/**
 * Converts an answer to the failure it reports. Unless a problem document states that a change
 * was not run, the change may have been accepted.
 */
export default function toFailure({ status, body }: HttpAnswer, method: 'GET' | 'POST'): Failure {
  const problem = Problem.safeParse(body);
  if (problem.success && (problem.data.outcome === 'not-run' || method === 'GET')) {
    return { exitCode: EXIT_CODES.refused, message: formatProblem(problem.data) };
  }
  const message = problem.success ? problem.data.detail : `unexpected answer with status ${status}`;
  return { exitCode: method === 'GET' ? EXIT_CODES.unreachable : EXIT_CODES.outcomeUnknown, message };
}
