import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RoutingTable } from '@dandelionlane/fleet';
import type CallMetadata from '../wire/CallMetadata.js';
import type CallLog from './CallLog.js';
import type RequestOrigin from './RequestOrigin.js';

/** A request whose head has been read. */
export default interface ReceivedRequest {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly table: RoutingTable;
  readonly metadata: CallMetadata;
  readonly origin: RequestOrigin;
  readonly receivedAt: number;
  readonly log: CallLog;
}
