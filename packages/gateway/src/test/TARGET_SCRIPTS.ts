import type { TargetScript } from './TestGateway.js';

const SIGNED = { 'x-id': 'r1', 'x-signed': '1' };

/** Behaviours of targets that several tests have. */
const TARGET_SCRIPTS = {
  /** Answers with a stream of one event. */
  serve: (_incoming, outgoing) => {
    outgoing.writeHead(200, { ...SIGNED, 'content-type': 'text/event-stream' });
    outgoing.end('id: 1\ndata: e1\n\n');
  },
  fail: (_incoming, outgoing) => {
    outgoing.writeHead(500, SIGNED).end('failed');
  },
} as const satisfies Readonly<Record<string, TargetScript>>;

export default TARGET_SCRIPTS;
