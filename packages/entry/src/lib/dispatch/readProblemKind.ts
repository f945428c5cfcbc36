import { Problem, type ErrorKind } from '@dandelionlane/core';

/** Error kind of a problem document, or null if the body is not a problem document. */
export default function readProblemKind(body: Buffer): ErrorKind | null {
  try {
    const problem = Problem.safeParse(JSON.parse(body.toString('utf8')));
    return problem.success ? problem.data.kind : null;
  } catch {
    return null;
  }
}
