import type { IncomingHttpHeaders } from 'node:http';
import type AnswerHead from './AnswerHead.js';
import type CallHeaders from './CallHeaders.js';
import type TargetCall from './TargetCall.js';

/** Names and formats that callers and targets speak. */
export default interface GatewayWire {
  readCall(headers: IncomingHttpHeaders): CallHeaders;
  /** Headers of a request to a target: the caller's, less those of one connection, plus the gateway's. */
  targetHeaders(headers: IncomingHttpHeaders, call: TargetCall): Record<string, string | string[]>;
  readAnswer(headers: Readonly<Record<string, string | readonly string[] | undefined>>): AnswerHead;
}
