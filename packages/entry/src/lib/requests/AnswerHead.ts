import type { IncomingHttpHeaders } from 'node:http';

/** Status and headers of an answer. */
export default interface AnswerHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}
