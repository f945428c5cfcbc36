import type { IncomingHttpHeaders } from 'node:http';
import type AnswerHead from './AnswerHead.js';
import type CallMetadata from './CallMetadata.js';
import type PeerCallMetadata from './PeerCallMetadata.js';
import type TargetCallMetadata from './TargetCallMetadata.js';

/** Header names and formats that callers and targets use. */
export default interface GatewayWire {
  readCall(headers: IncomingHttpHeaders): CallMetadata;
  /** Headers of a request to a target: the caller's, less those of one connection, plus the gateway's. */
  targetHeaders(headers: IncomingHttpHeaders, call: TargetCallMetadata): Record<string, string | string[]>;
  /** Headers of a request to another entry: the caller's that outlast a connection, plus the gateway's. */
  peerHeaders(headers: IncomingHttpHeaders, call: PeerCallMetadata): Record<string, string | string[]>;
  /** Headers of a refusal after which another entry may be tried. */
  readonly declinedHeaders: Readonly<Record<string, string>>;
  /** Headers of an answer to another entry, with a length, that had none at the target. */
  readonly unframedHeaders: Readonly<Record<string, string>>;
  readAnswer(headers: Readonly<Record<string, string | readonly string[] | undefined>>): AnswerHead;
}
